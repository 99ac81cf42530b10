#include "keyvalueapi.h"

#include "connection.h"
#include "cyclamencross/base/base64.h"
#include "emuserver.h"
#include "jsonbody.h"

#include <memory>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis LeaseExpiryPeriod{50};
constexpr Millis WatchPollPeriod{50};
constexpr std::size_t MaxValueBytes = 1U << 20U;

nlohmann::json toJson(const StoredKey &stored)
{
    nlohmann::json out = {{"key", toBase64(stored.key)}, {"mod_revision", std::to_string(stored.modRevision)}};
    if (stored.version != 0) {
        out["create_revision"] = std::to_string(stored.createRevision);
        out["version"] = std::to_string(stored.version);
    }
    if (!stored.value.empty()) {
        out["value"] = toBase64(stored.value);
    }
    if (stored.lease != 0) {
        out["lease"] = std::to_string(stored.lease);
    }
    return out;
}

// Returns a member of an object, or an empty object. Like the gateway, it accepts names in snake case and camel case.
const nlohmann::json &member(const nlohmann::json &object, const char *name, const char *camelCaseName)
{
    static const nlohmann::json EmptyObject = nlohmann::json::object();
    const auto found = object.find(name);
    if (found != object.end()) {
        return *found;
    }
    const auto other = object.find(camelCaseName);
    return other != object.end() ? *other : EmptyObject;
}

std::int64_t numberOf(const nlohmann::json &object, const char *name, const char *camelCaseName)
{
    return numberMember(object, name, numberMember(object, camelCaseName, 0));
}

bool satisfies(std::int64_t difference, const std::string &result)
{
    if (result == "GREATER") {
        return difference > 0;
    }
    if (result == "LESS") {
        return difference < 0;
    }
    return (difference == 0) != (result == "NOT_EQUAL");
}

void answerError(httplib::Response &response, int status, int code, const std::string &message)
{
    answerJson(response, status, {{"error", message}, {"message", message}, {"code", code}});
}

}

void KeyValueApi::start(EmuServer &server)
{
    using Method = void (KeyValueApi::*)(const nlohmann::json &, httplib::Response &);
    const auto add = [this, &server](const char *path, Method method) {
        server.addRoute("POST", path, [this, method](const auto &request, auto &response) {
            (this->*method)(parseJsonObject(request.body), response);
        });
    };
    add("/v3/kv/range", &KeyValueApi::range);
    add("/v3/kv/put", &KeyValueApi::put);
    add("/v3/kv/txn", &KeyValueApi::transact);
    add("/v3/lease/grant", &KeyValueApi::grantLease);
    add("/v3/lease/keepalive", &KeyValueApi::keepAlive);
    add("/v3/lease/revoke", &KeyValueApi::revokeLease);
    add("/v3/watch", &KeyValueApi::watch);
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(LeaseExpiryPeriod);
            const std::lock_guard lock(this->mutex);
            if (this->store.expireLeases()) {
                this->changed.notify_all();
            }
        }
    }).detach();
}

nlohmann::json KeyValueApi::header() const
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(this->store.revision())},
            {"raft_term", "1"}};
}

nlohmann::json KeyValueApi::rangeResult(const nlohmann::json &request) const
{
    const auto found = this->store.range(fromBase64(stringMember(request, "key")).value_or(""),
                                         fromBase64(member(request, "range_end", "rangeEnd").is_string()
                                                        ? member(request, "range_end", "rangeEnd").get<std::string>()
                                                        : std::string())
                                             .value_or(""));
    const auto limit = static_cast<std::size_t>(numberMember(request, "limit", 0));
    nlohmann::json out = {{"header", this->header()}};
    for (const StoredKey &stored : found) {
        if (limit != 0 && out["kvs"].size() == limit) {
            out["more"] = true;
            break;
        }
        out["kvs"].push_back(toJson(stored));
    }
    if (!found.empty()) {
        out["count"] = std::to_string(found.size());
    }
    return out;
}

void KeyValueApi::range(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    answerJson(response, 200, this->rangeResult(body));
}

void KeyValueApi::put(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    const nlohmann::json result = this->runOperation({{"request_put", body}}, this->store.revision() + 1);
    if (result.is_null()) {
        answerError(response, 404, 5, "etcdserver: requested lease not found");
        return;
    }
    this->changed.notify_all();
    answerJson(response, 200, {{"header", this->header()}});
}

bool KeyValueApi::comparisonHolds(const nlohmann::json &comparison) const
{
    const auto found = this->store.range(fromBase64(stringMember(comparison, "key")).value_or(""), "");
    const StoredKey stored = found.empty() ? StoredKey() : found.front();
    const std::string target = stringMember(comparison, "target");
    const std::string result = stringMember(comparison, "result");
    if (target == "VALUE") {
        const int order = stored.value.compare(fromBase64(stringMember(comparison, "value")).value_or(""));
        return !found.empty() && satisfies(order, result);
    }
    if (target == "CREATE") {
        return satisfies(stored.createRevision - numberOf(comparison, "create_revision", "createRevision"), result);
    }
    if (target == "MOD") {
        return satisfies(stored.modRevision - numberOf(comparison, "mod_revision", "modRevision"), result);
    }
    if (target == "LEASE") {
        return satisfies(stored.lease - numberMember(comparison, "lease", 0), result);
    }
    return satisfies(stored.version - numberMember(comparison, "version", 0), result);
}

nlohmann::json KeyValueApi::runOperation(const nlohmann::json &operation, std::int64_t newRevision)
{
    const nlohmann::json &put = member(operation, "request_put", "requestPut");
    if (!put.empty()) {
        const bool done = this->store.put(fromBase64(stringMember(put, "key")).value_or(""),
                                          fromBase64(stringMember(put, "value")).value_or(""),
                                          numberMember(put, "lease", 0), newRevision);
        return done ? nlohmann::json{{"response_put", {{"header", this->header()}}}} : nlohmann::json();
    }
    const nlohmann::json &erase = member(operation, "request_delete_range", "requestDeleteRange");
    if (!erase.empty()) {
        const std::size_t count =
            this->store.erase(fromBase64(stringMember(erase, "key")).value_or(""),
                              fromBase64(stringMember(erase, "range_end")).value_or(""), newRevision);
        nlohmann::json result = {{"header", this->header()}};
        if (count > 0) {
            result["deleted"] = std::to_string(count);
        }
        return {{"response_delete_range", result}};
    }
    return {{"response_range", this->rangeResult(member(operation, "request_range", "requestRange"))}};
}

void KeyValueApi::transact(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    bool succeeded = true;
    for (const nlohmann::json &comparison : member(body, "compare", "compare")) {
        succeeded = succeeded && this->comparisonHolds(comparison);
    }
    const char *branch = succeeded ? "success" : "failure";
    const std::int64_t newRevision = this->store.revision() + 1;
    nlohmann::json responses = nlohmann::json::array();
    for (const nlohmann::json &operation : member(body, branch, branch)) {
        const std::string value = stringMember(member(operation, "request_put", "requestPut"), "value");
        if (value.size() / 4 * 3 > MaxValueBytes) {
            answerError(response, 400, 3, "etcdserver: request is too large");
            return;
        }
        responses.push_back(this->runOperation(operation, newRevision));
        if (responses.back().is_null()) {
            answerError(response, 404, 5, "etcdserver: requested lease not found");
            return;
        }
    }
    this->changed.notify_all();
    nlohmann::json out = {{"header", this->header()}};
    if (succeeded) {
        out["succeeded"] = true;
    }
    if (!responses.empty()) {
        out["responses"] = responses;
    }
    answerJson(response, 200, out);
}

void KeyValueApi::grantLease(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    const std::int64_t ttl = numberMember(body, "TTL", 1);
    const std::int64_t id = this->store.grantLease(numberMember(body, "ID", 0), ttl);
    answerJson(response, 200, {{"header", this->header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}});
}

void KeyValueApi::keepAlive(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    const std::int64_t id = numberMember(body, "ID", 0);
    const std::int64_t ttl = this->store.keepAlive(id);
    nlohmann::json result = {{"header", this->header()}, {"ID", std::to_string(id)}};
    if (ttl > 0) {
        result["TTL"] = std::to_string(ttl);
    }
    answerJson(response, 200, {{"result", result}});
}

void KeyValueApi::revokeLease(const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    if (!this->store.revokeLease(numberMember(body, "ID", 0))) {
        answerError(response, 404, 5, "etcdserver: requested lease not found");
        return;
    }
    this->changed.notify_all();
    answerJson(response, 200, {{"header", this->header()}});
}

void KeyValueApi::watch(const nlohmann::json &body, httplib::Response &response)
{
    const nlohmann::json &create = member(body, "create_request", "createRequest");
    const auto watch = std::make_shared<Watch>();
    const std::lock_guard lock(this->mutex);
    watch->key = fromBase64(stringMember(create, "key")).value_or("");
    watch->end = fromBase64(stringMember(create, "range_end")).value_or("");
    const std::int64_t start = numberOf(create, "start_revision", "startRevision");
    watch->nextRevision = start > 0 ? start : this->store.revision() + 1;
    watch->compactionsAtStart = this->compactions;
    response.set_chunked_content_provider(
        "application/json",
        [this, watch](std::size_t /*offset*/, httplib::DataSink &sink) { return this->sendWatchEvents(*watch, sink); });
}

bool KeyValueApi::sendWatchEvents(Watch &watch, httplib::DataSink &sink)
{
    nlohmann::json result;
    bool canceled = false;
    {
        std::unique_lock lock(this->mutex);
        std::vector<KeyEvent> events;
        while (true) {
            canceled =
                watch.compactionsAtStart != this->compactions || watch.nextRevision <= this->store.compactRevision();
            events = this->store.eventsSince(watch.nextRevision, watch.key, watch.end);
            if (!watch.created || canceled || !events.empty()) {
                break;
            }
            this->changed.wait_for(lock, WatchPollPeriod);
            if (Connection::peerClosed()) {
                return false;
            }
        }
        result["header"] = this->header();
        if (!watch.created) {
            result["created"] = true;
            watch.created = true;
            canceled = false;
        } else if (canceled) {
            result["canceled"] = true;
            result["compact_revision"] = std::to_string(this->store.compactRevision() + 1);
        } else {
            for (const KeyEvent &event : events) {
                nlohmann::json out = {{"kv", toJson(event.key)}};
                if (event.removed) {
                    out["type"] = "DELETE";
                }
                result["events"].push_back(out);
            }
            watch.nextRevision = this->store.revision() + 1;
        }
    }
    const std::string line = nlohmann::json{{"result", result}}.dump() + "\n";
    if (!sink.write(line.data(), line.size())) {
        return false;
    }
    if (canceled) {
        sink.done();
    }
    return true;
}

void KeyValueApi::compact()
{
    const std::lock_guard lock(this->mutex);
    this->store.compact();
    ++this->compactions;
    this->changed.notify_all();
}

void KeyValueApi::saveState()
{
    const std::lock_guard lock(this->mutex);
    this->store.saveState();
}

bool KeyValueApi::restoreState()
{
    const std::lock_guard lock(this->mutex);
    return this->store.restoreState();
}

}
