#pragma once

#include "cyclamencross/base/base64.h"
#include "keyvalueclient.h"

#include "cyclamencross/base/failures.h"

#include <functional>
#include <map>
#include <string>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// In-memory key-value service for tests. It implements the JSON protocol behind KeyValueCall and can lose requests and
/// responses.
class FakeKeyValue
{
public:
    enum class Fault { None, RequestLost, ResponseLost };

    KeyValueCall call()
    {
        return [this](const std::string &path, const std::string &body) { return this->handle(path, body); };
    }

    std::map<std::string, KeyValueEntry> entries;
    std::map<std::int64_t, std::int64_t> leases; ///< Lifetimes in seconds by lease id.
    std::function<Fault()> nextFault; ///< Called for each request; unset: no faults.
    std::function<void()> beforeTxn; ///< Called once, before the next transaction takes effect, to simulate races.
    int calls = 0;

private:
    using Json = nlohmann::json;

    boost::leaf::result<std::string> handle(const std::string &path, const std::string &body)
    {
        ++this->calls;
        const Fault fault = this->nextFault ? this->nextFault() : Fault::None;
        if (fault == Fault::RequestLost) {
            return boost::leaf::new_error(KeyValueUnavailable{"request lost"});
        }
        const Json request = Json::parse(body);
        Json reply = {{"header", {{"revision", std::to_string(this->revision)}}}};
        if (path == "/v3/kv/range") {
            reply.update(this->range(request));
        } else if (path == "/v3/lease/grant") {
            this->leases[++this->lastLease] = std::stoll(request.at("TTL").get<std::string>());
            reply["ID"] = std::to_string(this->lastLease);
        } else if (path == "/v3/kv/txn") {
            if (this->beforeTxn) {
                std::exchange(this->beforeTxn, nullptr)();
            }
            if (!this->transact(request, reply)) {
                return boost::leaf::new_error(LeaseNotFound());
            }
        }
        if (fault == Fault::ResponseLost) {
            return boost::leaf::new_error(KeyValueUnavailable{"answer lost"});
        }
        return reply.dump();
    }

    Json range(const Json &request) const
    {
        const std::string key = *fromBase64(request.at("key").get<std::string>());
        const std::string end = *fromBase64(request.value("range_end", ""));
        Json found = Json::object();
        for (const auto &[name, entry] : this->entries) {
            if (name == key || (!end.empty() && name >= key && name < end)) {
                found["kvs"].push_back({{"key", toBase64(name)},
                                        {"value", toBase64(entry.value)},
                                        {"create_revision", std::to_string(entry.createRevision)},
                                        {"mod_revision", std::to_string(entry.modRevision)},
                                        {"lease", std::to_string(entry.lease)}});
            }
        }
        return found;
    }

    bool transact(const Json &request, Json &reply)
    {
        bool conditionsHold = true;
        for (const Json &compare : request.at("compare")) {
            const auto found = this->entries.find(*fromBase64(compare.at("key").get<std::string>()));
            const KeyValueEntry entry = found == this->entries.end() ? KeyValueEntry() : found->second;
            conditionsHold = conditionsHold
                && (compare.at("target") == "CREATE"
                        ? std::to_string(entry.createRevision) == compare.at("create_revision")
                        : std::to_string(entry.modRevision) == compare.at("mod_revision"));
        }
        if (!conditionsHold) {
            for (const Json &operation : request.value("failure", Json::array())) {
                reply["responses"].push_back({{"response_range", this->range(operation.at("request_range"))}});
            }
            return true;
        }
        ++this->revision;
        for (const Json &operation : request.at("success")) {
            const Json &put = operation.at("request_put");
            const std::int64_t lease = std::stoll(put.value("lease", "0"));
            if (lease != 0 && !this->leases.contains(lease)) {
                return false;
            }
            const std::string key = *fromBase64(put.at("key").get<std::string>());
            KeyValueEntry &entry = this->entries[key];
            entry.key = key;
            entry.value = *fromBase64(put.at("value").get<std::string>());
            entry.createRevision = entry.createRevision == 0 ? this->revision : entry.createRevision;
            entry.modRevision = this->revision;
            entry.lease = lease;
        }
        reply["header"]["revision"] = std::to_string(this->revision);
        reply["succeeded"] = true;
        return true;
    }

    std::int64_t revision = 1;
    std::int64_t lastLease = 100;
};

}
