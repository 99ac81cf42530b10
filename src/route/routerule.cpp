#include "cyclamencross/route/routerule.h"

namespace Cyclamen
{

bool RouteRule::mayRepeat() const
{
    return this->kind == RequestKind::Idempotent || (this->kind == RequestKind::Stream && this->resumable);
}

}
