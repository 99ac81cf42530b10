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

/// Stores a durable record of each non-idempotent call in the key-value service, so that no call runs twice. Methods
/// block and are thread-safe.
class CallRecords
{
public:
    /// Limit on the calls in progress whose stored revision is remembered. finish() needs only a write for these, and a
    /// read before the write for all others.
    static constexpr std::size_t MaxRunningCalls = 10000;

    explicit CallRecords(KeyValueClient &client);

    /// See FleetService::createCallRecord().
    boost::leaf::result<CallRecord> create(const CallRecord &proposed, TimePoint now);
    /// See FleetService::finishCallRecord().
    /// @return whether the record is stored as finished; false if another attempt owns it or it no longer exists;
    /// or KeyValueUnavailable.
    boost::leaf::result<bool> finish(const CallRecord &record);

    /// Returns the key-value key of a record. Workspace and idempotency key are percent-encoded, so that different
    /// records never share a key.
    static std::string storageKey(const CallRecord &record);
    /// Returns @p record as the JSON text that is stored.
    static std::string toText(const CallRecord &record);
    /// Parses the result of toText(). Returns nothing if it is malformed.
    static std::optional<CallRecord> fromText(const std::string &text);

private:
    /// Revision and lease of the stored record of a call in progress.
    struct RunningCall
    {
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };
    boost::leaf::result<std::optional<CallRecord>> tryCreate(const CallRecord &proposed, std::int64_t lease);
    /// Handles a lost creation race: returns the stored record, which may be this attempt's own if an earlier response
    /// was lost.
    boost::leaf::result<std::optional<CallRecord>> resolveExisting(const std::optional<KeyValueEntry> &entry,
                                                                   const CallRecord &proposed);
    boost::leaf::result<bool> tryFinish(const CallRecord &record);
    void trackRunning(const CallRecord &record, RunningCall running);

    KeyValueClient &client;
    CallLease lease;
    std::mutex mutex;
    std::map<std::string, RunningCall> runningCalls; ///< Keyed by attempt id.
};

}
