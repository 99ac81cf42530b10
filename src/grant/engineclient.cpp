#include "engineclient.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/ipport.h"
#include "cyclamencross/net/responsehead.h"

#include <cstdlib>
#include <utility>

#include <boost/leaf/error.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

// Parses the body as JSON and passes it to the function read. A missing member or a wrong type is reported as
// ProtocolViolation.
template<typename Read>
auto parse(const std::string &address, const std::string &body, Read read)
    -> boost::leaf::result<decltype(read(std::declval<const nlohmann::json &>()))>
{
    try {
        return read(nlohmann::json::parse(body));
    } catch (const nlohmann::json::exception &error) {
        return boost::leaf::new_error(ProtocolViolation{address, error.what()});
    }
}

}

EngineClient::EngineClient(std::string address, Millis connectTimeout, Millis replyTimeout)
    : address(std::move(address))
    , connectTimeout(connectTimeout)
    , replyTimeout(replyTimeout)
{
}

boost::leaf::result<std::string> EngineClient::exchange(const std::string &path, const std::string &body) const
{
    const auto target = parseIpPort(this->address);
    if (!target) {
        return boost::leaf::new_error(ConnectFailed{this->address});
    }
    httplib::Client client(target->ip, target->port);
    client.set_connection_timeout(this->connectTimeout);
    client.set_read_timeout(this->replyTimeout);
    client.set_write_timeout(this->replyTimeout);
    const auto reply = body.empty() ? client.Get(path) : client.Post(path, body, "application/json");
    if (!reply && reply.error() == httplib::Error::Connection) {
        return boost::leaf::new_error(ConnectFailed{this->address});
    }
    if (!reply) {
        return boost::leaf::new_error(ExchangeFailed{this->address, httplib::to_string(reply.error())});
    }
    if (!isValidResponseHead(*reply)) {
        return boost::leaf::new_error(ProtocolViolation{this->address, path + " answered with a malformed head"});
    }
    if (reply->status != 200) {
        return boost::leaf::new_error(
            ProtocolViolation{this->address, path + " answered with status " + std::to_string(reply->status)});
    }
    return reply->body;
}

boost::leaf::result<EngineLoad> EngineClient::load() const
{
    const TimePoint start = Clock::now();
    BOOST_LEAF_AUTO(body, this->exchange("/v1/load", {}));
    return parse(this->address, body, [&](const nlohmann::json &json) {
        EngineLoad load;
        load.engine = this->address;
        load.slots = json.at("slots").get<std::uint32_t>();
        load.usedSlots = json.at("held").get<std::uint32_t>();
        load.queuedTokens = json.value("queued_tokens", std::uint64_t(0));
        load.tokensPerSecond = json.value("tokens_per_second", 0.0);
        load.updatedAt = start;
        return load;
    });
}

boost::leaf::result<std::vector<HeldRequest>> EngineClient::requests() const
{
    BOOST_LEAF_AUTO(body, this->exchange("/v1/requests", {}));
    return parse(this->address, body, [](const nlohmann::json &json) {
        std::vector<HeldRequest> list;
        for (const nlohmann::json &entry : json.at("requests")) {
            list.push_back({entry.at("request_id").get<std::string>(), entry.value("stage", std::string()),
                            Millis(entry.value("age_ms", std::int64_t(0))), entry.value("attached", true)});
        }
        return list;
    });
}

boost::leaf::result<CacheEvents> EngineClient::cacheEvents(std::uint64_t since) const
{
    BOOST_LEAF_AUTO(body, this->exchange("/v1/cache_events?since=" + std::to_string(since), {}));
    return parse(this->address, body, [](const nlohmann::json &json) {
        CacheEvents reply;
        reply.nextSequence = json.at("next").get<std::uint64_t>();
        for (const nlohmann::json &event : json.at("events")) {
            reply.events.push_back({event.at("seq").get<std::uint64_t>(), event.at("op").get<std::string>() == "add",
                                    event.at("prefix").get<std::string>()});
        }
        return reply;
    });
}

boost::leaf::result<bool> EngineClient::cancel(const std::string &requestId) const
{
    const nlohmann::json order{{"request_id", requestId}};
    const std::string text = order.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    BOOST_LEAF_AUTO(body, this->exchange("/v1/cancel", text));
    return parse(this->address, body, [](const nlohmann::json &json) { return json.value("cancelled", false); });
}

}
