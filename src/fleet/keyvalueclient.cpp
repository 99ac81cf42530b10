#include "keyvalueclient.h"

#include "cyclamencross/base/base64.h"
#include "keyvaluejson.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/metrics.h"

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

// Parses a response. A malformed one leaves the effect of the request unknown, like a missing one.
template<typename Parser>
auto parseResponse(const std::string &response, const Parser &parser)
    -> boost::leaf::result<decltype(parser(nlohmann::json()))>
{
    try {
        return parser(nlohmann::json::parse(response));
    } catch (const std::exception &error) {
        return boost::leaf::new_error(KeyValueUnavailable{std::string("malformed response: ") + error.what()});
    }
}

std::int64_t storeRevision(const nlohmann::json &response)
{
    return numberMember(response.value("header", nlohmann::json::object()), "revision");
}

std::vector<KeyValueEntry> parseEntries(const nlohmann::json &range)
{
    std::vector<KeyValueEntry> entries;
    for (const auto &kv : range.value("kvs", nlohmann::json::array())) {
        entries.push_back(toEntry(kv));
    }
    return entries;
}

// Returns the first key after all keys that begin with the prefix.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFF) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    ++prefix.back();
    return prefix;
}

nlohmann::json toJson(const KeyValueTxn::Compare &compare)
{
    const bool create = compare.target == KeyValueTxn::Target::CreateRevision;
    return {{"key", toBase64(compare.key)},
            {"result", "EQUAL"},
            {"target", create ? "CREATE" : "MOD"},
            {create ? "create_revision" : "mod_revision", std::to_string(compare.revision)}};
}

nlohmann::json toJson(const KeyValueTxn::Put &put)
{
    nlohmann::json request = {{"key", toBase64(put.key)}, {"value", toBase64(put.value)}};
    if (put.lease != 0) {
        request["lease"] = std::to_string(put.lease);
    }
    return {{"request_put", request}};
}

}

KeyValueClient::KeyValueClient(KeyValueCall call, Metrics &metrics)
    : call(std::move(call))
    , metrics(metrics)
{
}

boost::leaf::result<KeyValueClient::Read> KeyValueClient::get(const std::string &key)
{
    const nlohmann::json request = {{"key", toBase64(key)}};
    BOOST_LEAF_AUTO(response, this->send("range", "/v3/kv/range", request.dump()));
    return parseResponse(response, [](const nlohmann::json &json) {
        const auto entries = parseEntries(json);
        return Read{entries.empty() ? std::nullopt : std::optional(entries.front()), storeRevision(json)};
    });
}

boost::leaf::result<std::vector<KeyValueEntry>> KeyValueClient::getPrefix(const std::string &prefix, int limit)
{
    const nlohmann::json request = {
        {"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}, {"limit", limit}};
    BOOST_LEAF_AUTO(response, this->send("range", "/v3/kv/range", request.dump()));
    return parseResponse(response, parseEntries);
}

boost::leaf::result<KeyValueTxnResult> KeyValueClient::transact(const KeyValueTxn &txn)
{
    nlohmann::json request = {{"compare", nlohmann::json::array()}, {"success", nlohmann::json::array()}};
    for (const auto &compare : txn.compares) {
        request["compare"].push_back(toJson(compare));
    }
    for (const auto &put : txn.puts) {
        request["success"].push_back(toJson(put));
    }
    if (!txn.readOnFailure.empty()) {
        request["failure"] = {{{"request_range", {{"key", toBase64(txn.readOnFailure)}}}}};
    }
    BOOST_LEAF_AUTO(response, this->send("txn", "/v3/kv/txn", request.dump()));
    return parseResponse(response, [](const nlohmann::json &json) {
        KeyValueTxnResult result{json.value("succeeded", false), storeRevision(json), std::nullopt};
        for (const auto &operation : json.value("responses", nlohmann::json::array())) {
            const auto entries = parseEntries(operation.value("response_range", nlohmann::json::object()));
            if (!entries.empty()) {
                result.read = entries.front();
            }
        }
        return result;
    });
}

boost::leaf::result<std::int64_t> KeyValueClient::grantLease(std::int64_t seconds)
{
    const nlohmann::json request = {{"TTL", std::to_string(seconds)}, {"ID", "0"}};
    BOOST_LEAF_AUTO(response, this->send("lease-grant", "/v3/lease/grant", request.dump()));
    return parseResponse(response, [](const nlohmann::json &json) { return numberMember(json, "ID"); });
}

boost::leaf::result<std::int64_t> KeyValueClient::keepAlive(std::int64_t lease)
{
    const nlohmann::json request = {{"ID", std::to_string(lease)}};
    BOOST_LEAF_AUTO(response, this->send("lease-keepalive", "/v3/lease/keepalive", request.dump()));
    BOOST_LEAF_AUTO(seconds, parseResponse(response, [](const nlohmann::json &json) {
                        return numberMember(json.at("result"), "TTL");
                    }));
    if (seconds <= 0) {
        return boost::leaf::new_error(LeaseNotFound());
    }
    return seconds;
}

boost::leaf::result<void> KeyValueClient::revokeLease(std::int64_t lease)
{
    const nlohmann::json request = {{"ID", std::to_string(lease)}};
    auto response = this->send("lease-revoke", "/v3/lease/revoke", request.dump());
    if (!response) {
        return response.error();
    }
    return {};
}

boost::leaf::result<std::string> KeyValueClient::send(const char *kind, const std::string &path,
                                                      const std::string &body)
{
    this->metrics.count("cyclamencross_keyvalue_calls_total", {{"kind", kind}});
    auto response = this->call(path, body);
    if (!response) {
        this->metrics.count("cyclamencross_keyvalue_failures_total", {{"kind", kind}});
    }
    return response;
}

}
