#include "cyclamencross/route/routeconfig.h"

namespace Cyclamen
{

bool RouteConfig::mayRepeat() const
{
    return this->kind == RequestKind::Idempotent || (this->kind == RequestKind::Stream && this->resumable);
}

}
