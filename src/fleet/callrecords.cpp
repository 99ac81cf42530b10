#include "callrecords.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/hash.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr auto RecordPrefix = "/cyclamencross/calls/";
// Each try may take up to the timeout of a key-value call. More tries would keep the caller waiting too long.
constexpr int MaxTries = 3;

std::string percentEncode(const std::string &text)
{
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
            encoded += static_cast<char>(c);
        } else {
            encoded.append(1, '%').append(toHex(c), 14, 2);
        }
    }
    return encoded;
}

}

CallRecords::CallRecords(KeyValueClient &client)
    : client(client)
    , lease(client)
{
}

std::string CallRecords::storageKey(const CallRecord &record)
{
    return RecordPrefix + percentEncode(record.workspace) + "/" + percentEncode(record.key);
}

std::string CallRecords::toText(const CallRecord &record)
{
    const nlohmann::json json = {{"workspace", record.workspace},     {"key", record.key},
                                 {"attempt", record.attempt},         {"entry", record.entry},
                                 {"incarnation", record.incarnation}, {"admin_address", record.adminAddress},
                                 {"finished", record.finished},       {"status", record.status},
                                 {"body_hash", record.bodyHash}};
    // Idempotency keys come from callers and may contain invalid UTF-8.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<CallRecord> CallRecords::fromText(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        CallRecord record;
        record.workspace = json.at("workspace").get<std::string>();
        record.key = json.at("key").get<std::string>();
        record.attempt = json.at("attempt").get<std::string>();
        record.entry = json.at("entry").get<std::string>();
        record.incarnation = json.at("incarnation").get<std::uint64_t>();
        record.adminAddress = json.at("admin_address").get<std::string>();
        record.finished = json.at("finished").get<bool>();
        record.status = json.at("status").get<int>();
        record.bodyHash = json.at("body_hash").get<std::string>();
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

boost::leaf::result<CallRecord> CallRecords::create(const CallRecord &proposed, TimePoint now)
{
    // Comparing with create revision 0 makes retries safe, even if an earlier request arrives late.
    std::string detail;
    for (int tries = 0; tries < MaxTries; ++tries) {
        const auto outcome = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<CallRecord>> {
                BOOST_LEAF_AUTO(leaseId, this->lease.get(now));
                return boost::leaf::try_handle_some(
                    [&] { return this->tryCreate(proposed, leaseId); },
                    [&](const LeaseNotFound &) -> boost::leaf::result<std::optional<CallRecord>> {
                        this->lease.discard(leaseId);
                        return boost::leaf::new_error(KeyValueUnavailable{"the lease has expired or was revoked"});
                    });
            },
            [&detail](const KeyValueUnavailable &failure) {
                detail = failure.detail;
                return std::optional<CallRecord>();
            },
            [] { return std::optional<CallRecord>(); });
        if (outcome) {
            return *outcome;
        }
    }
    return boost::leaf::new_error(KeyValueUnavailable{detail});
}

boost::leaf::result<std::optional<CallRecord>> CallRecords::tryCreate(const CallRecord &proposed, std::int64_t lease)
{
    const std::string key = storageKey(proposed);
    KeyValueTxn txn;
    txn.compares = {{key, KeyValueTxn::Target::CreateRevision, 0}};
    txn.puts = {{key, toText(proposed), lease}};
    txn.readOnFailure = key;
    BOOST_LEAF_AUTO(result, this->client.transact(txn));
    if (result.succeeded) {
        this->trackRunning(proposed, RunningCall{result.revision, lease});
        return std::optional(proposed);
    }
    return this->resolveExisting(result.read, proposed);
}

boost::leaf::result<std::optional<CallRecord>> CallRecords::resolveExisting(const std::optional<KeyValueEntry> &entry,
                                                                            const CallRecord &proposed)
{
    if (!entry) {
        return boost::leaf::new_error(KeyValueUnavailable{"the call record was deleted during the transaction"});
    }
    auto record = fromText(entry->value);
    if (!record) {
        return boost::leaf::new_error(KeyValueUnavailable{"the stored call record is malformed"});
    }
    if (record->attempt == proposed.attempt) {
        // An earlier try of this attempt created the record, but its response was lost.
        this->trackRunning(proposed, RunningCall{entry->modRevision, entry->lease});
    }
    return record;
}

boost::leaf::result<bool> CallRecords::finish(const CallRecord &record)
{
    std::string detail;
    for (int tries = 0; tries < MaxTries; ++tries) {
        const auto outcome = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<bool>> {
                BOOST_LEAF_AUTO(done, this->tryFinish(record));
                return std::optional(done);
            },
            [&detail](const KeyValueUnavailable &failure) {
                detail = failure.detail;
                return std::optional<bool>();
            },
            [] { return std::optional<bool>(); });
        if (outcome) {
            return *outcome;
        }
    }
    return boost::leaf::new_error(KeyValueUnavailable{detail});
}

boost::leaf::result<bool> CallRecords::tryFinish(const CallRecord &record)
{
    std::optional<RunningCall> running;
    {
        const std::scoped_lock lock(this->mutex);
        if (const auto known = this->runningCalls.extract(record.attempt)) {
            running = known.mapped();
        }
    }
    if (!running) {
        BOOST_LEAF_AUTO(found, this->client.get(storageKey(record)));
        const auto stored = found.entry ? fromText(found.entry->value) : std::nullopt;
        if (!stored || stored->attempt != record.attempt) {
            return false;
        }
        if (*stored == record) {
            return true;
        }
        running = RunningCall{found.entry->modRevision, found.entry->lease};
    }
    KeyValueTxn txn;
    txn.compares = {{storageKey(record), KeyValueTxn::Target::ModRevision, running->modRevision}};
    txn.puts = {{storageKey(record), toText(record), running->lease}};
    BOOST_LEAF_AUTO(result, this->client.transact(txn));
    if (!result.succeeded) {
        return boost::leaf::new_error(KeyValueUnavailable{"the call record was modified concurrently"});
    }
    return true;
}

void CallRecords::trackRunning(const CallRecord &record, RunningCall running)
{
    const std::scoped_lock lock(this->mutex);
    if (this->runningCalls.size() < MaxRunningCalls) {
        this->runningCalls.insert_or_assign(record.attempt, running);
    }
}

}
