#include "cyclamencross/admin/adminserver.h"

namespace Cyclamen
{

struct AdminServer::Members
{
};

AdminServer::AdminServer(const Settings & /*settings*/, Metrics & /*metrics*/)
    : members(std::make_unique<Members>())
{
}

AdminServer::~AdminServer() = default;

void AdminServer::route(const std::string & /*method*/, const std::string & /*path*/, RouteAccess /*access*/,
                        Handler /*handler*/)
{
}

bool AdminServer::start()
{
    return true;
}

}
