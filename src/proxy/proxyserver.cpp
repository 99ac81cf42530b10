#include "cyclamencross/proxy/proxyserver.h"

namespace Cyclamen
{

struct ProxyServer::Members
{
};

ProxyServer::ProxyServer(const Settings & /*settings*/, std::uint64_t /*incarnation*/, ProxyHooks /*hooks*/,
                         Metrics & /*metrics*/)
    : members(std::make_unique<Members>())
{
}

ProxyServer::~ProxyServer() = default;

bool ProxyServer::start()
{
    return true;
}

void ProxyServer::stopAccepting()
{
}

void ProxyServer::refuseNewWork()
{
}

std::uint32_t ProxyServer::inProgress() const
{
    return 0;
}

HttpReply ProxyServer::answerPeerCall(const HttpRequest & /*request*/)
{
    return HttpReply{404, {}, ""};
}

}
