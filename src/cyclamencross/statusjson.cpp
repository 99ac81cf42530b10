#include "statusjson.h"

#include "jsonbody.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

std::string toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Draining:
        return "draining";
    case MemberState::Left:
        return "left";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

std::string toString(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::None:
        break;
    }
    return "none";
}

Json toJson(const Member &member)
{
    return Json{{"name", member.name},
                {"incarnation", toHex(member.incarnation)},
                {"state", toString(member.state)},
                {"region", member.region},
                {"zone", member.zone},
                {"caller_address", member.callerAddress},
                {"admin_address", member.adminAddress},
                {"gossip_address", member.gossipAddress},
                {"load", member.load},
                {"config_revision", member.configRevision}};
}

Json toJson(const Backend &backend)
{
    return Json{{"address", backend.address},
                {"kind", backend.kind == BackendKind::Engine ? "engine" : "service"},
                {"pool", backend.pool},
                {"model", backend.model},
                {"role", toString(backend.role)},
                {"zone", backend.zone},
                {"state", backend.state == BackendState::Live ? "live" : "leaving"},
                {"checks_orders", backend.checksOrders}};
}

}

std::string statusJson(const FleetView &view)
{
    Json status;
    status["self"] = toJson(view.self);
    status["ready"] = view.ready;
    status["isolated"] = view.isolated;
    status["config_revision"] = view.config ? view.config->revision : 0;
    status["members"] = Json::array();
    for (const Member &member : view.members) {
        status["members"].push_back(toJson(member));
    }
    status["backends"] = Json::array();
    for (const Backend &backend : view.backends) {
        status["backends"].push_back(toJson(backend));
    }
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
