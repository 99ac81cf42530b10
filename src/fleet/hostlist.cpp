#include "hostlist.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

EngineRole parseRole(const std::string &role)
{
    if (role == "prefill") {
        return EngineRole::Prefill;
    }
    return role == "decode" ? EngineRole::Decode : EngineRole::None;
}

Backend parseHost(const nlohmann::json &host)
{
    Backend backend;
    backend.address = host.at("address").get<std::string>();
    backend.kind = host.at("kind").get<std::string>() == "engine" ? BackendKind::Engine : BackendKind::Service;
    backend.pool = host.value("pool", "");
    backend.model = host.value("model", "");
    backend.role = parseRole(host.value("role", ""));
    backend.zone = host.value("zone", "");
    // A host in any state other than live gets no new work.
    backend.state = host.value("state", "live") == "live" ? BackendState::Live : BackendState::Leaving;
    backend.checksOrders = host.value("checks_orders", true);
    return backend;
}

}

std::optional<HostList> parseHostList(const std::string &json)
{
    try {
        const nlohmann::json document = nlohmann::json::parse(json);
        HostList list;
        list.version = document.value("version", std::uint64_t(0));
        for (const auto &host : document.at("hosts")) {
            const auto kind = host.at("kind").get<std::string>();
            if (kind == "engine" || kind == "service") {
                list.backends.push_back(parseHost(host));
            }
        }
        std::sort(list.backends.begin(), list.backends.end(),
                  [](const Backend &a, const Backend &b) { return a.address < b.address; });
        return list;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}
