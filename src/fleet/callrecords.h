#pragma once

#include "calllease.h"
#include "keyvalueclient.h"

#include "cyclamencross/base/callrecord.h"
#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The durable records of calls that must not be repeated. Its methods block and are thread-safe.
class CallRecords
{
public:
    /// Records created here whose calls still run. One write finishes such a record; any other is read before.
    static constexpr std::size_t MaxRunning = 10000;

    explicit CallRecords(KeyValueClient &client);

    /// See FleetService::createCallRecord().
    boost::leaf::result<CallRecord> create(const CallRecord &wanted, TimePoint now);
    /// See FleetService::finishCallRecord().
    /// @return whether the record is stored as finished; false if another attempt owns it.
    boost::leaf::result<bool> finish(const CallRecord &record);

    /// Returns the key of a record; workspace and idempotency key are escaped, so that no two records share a key.
    static std::string storageKey(const CallRecord &record);
    static std::string toText(const CallRecord &record);
    static std::optional<CallRecord> fromText(const std::string &text);

private:
    struct Running
    {
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };
    boost::leaf::result<std::optional<CallRecord>> tryCreate(const CallRecord &wanted, std::int64_t lease);
    boost::leaf::result<std::optional<CallRecord>> take(const std::optional<KeyValueEntry> &entry,
                                                        const CallRecord &wanted);
    boost::leaf::result<bool> tryFinish(const CallRecord &record);
    void remember(const CallRecord &record, Running running);

    KeyValueClient &client;
    CallLease lease;
    std::mutex mutex;
    std::map<std::string, Running> running; ///< By attempt.
};

}
