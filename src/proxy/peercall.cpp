#include "peercall.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::json;

}

std::string encodePeerCall(const PeerCall &call)
{
    Json headers = Json::array();
    for (const auto &[name, value] : call.request.headers) {
        headers.push_back({name, value});
    }
    const Json encoded{{"incarnation", call.incarnation},
                       {"left_ms", call.remaining.count()},
                       {"method", call.request.method},
                       {"target", call.request.target},
                       {"headers", headers},
                       {"body", call.request.body}};
    std::string text;
    Json::to_cbor(encoded, text);
    return text;
}

std::optional<PeerCall> decodePeerCall(const std::string &text)
{
    const Json encoded = Json::from_cbor(text, true, false);
    try {
        PeerCall call;
        call.incarnation = encoded.at("incarnation").get<std::uint64_t>();
        call.remaining = Millis(encoded.at("left_ms").get<std::int64_t>());
        call.request.method = encoded.at("method").get<std::string>();
        call.request.target = encoded.at("target").get<std::string>();
        call.request.path = call.request.target.substr(0, call.request.target.find('?'));
        call.request.body = encoded.at("body").get<std::string>();
        for (const Json &header : encoded.at("headers")) {
            call.request.headers.emplace(header.at(0).get<std::string>(), header.at(1).get<std::string>());
        }
        return call;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

}
