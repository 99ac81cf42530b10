#pragma once

#include "keyvaluestore.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

class EmuServer;

/// Emulates the etcd v3 JSON gateway with a KeyValueStore. As in the published protocol, 64-bit integers are strings,
/// keys and values are base64, and members with a default value are omitted. Thread-safe.
class KeyValueApi
{
public:
    /// Adds the routes to @p server and starts the thread that expires leases, which runs until the process ends.
    void start(EmuServer &server);
    /// Discards the events so far and cancels every open watch with the compact revision.
    void compact();
    /// Saves a copy of the current state for restoreState().
    void saveState();
    /// Returns to the saved state, including its revision.
    /// @return false if no state was saved.
    bool restoreState();

private:
    struct Watch
    {
        std::string key;
        std::string end;
        std::int64_t nextRevision = 0; ///< The first revision not sent yet.
        bool created = false;
        std::uint64_t compactionsAtStart = 0; ///< The number of compactions when the watch was created.
    };

    void range(const nlohmann::json &body, httplib::Response &response);
    void put(const nlohmann::json &body, httplib::Response &response);
    void transact(const nlohmann::json &body, httplib::Response &response);
    void grantLease(const nlohmann::json &body, httplib::Response &response);
    void keepAlive(const nlohmann::json &body, httplib::Response &response);
    void revokeLease(const nlohmann::json &body, httplib::Response &response);
    void watch(const nlohmann::json &body, httplib::Response &response);
    bool sendWatchEvents(Watch &watch, httplib::DataSink &sink);
    /// Returns whether one comparison of a transaction is true.
    bool comparisonHolds(const nlohmann::json &comparison) const;
    nlohmann::json header() const;
    nlohmann::json rangeResult(const nlohmann::json &request) const;
    /// Runs one operation of a transaction at revision @p newRevision.
    /// @return its response, or null if it uses a lease that does not exist.
    nlohmann::json runOperation(const nlohmann::json &operation, std::int64_t newRevision);

    std::mutex mutex;
    std::condition_variable changed;
    KeyValueStore store;
    std::uint64_t compactions = 0;
};

}
