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

/// The etcd v3 JSON gateway over a KeyValueStore. As in the published protocol, 64-bit numbers are texts, keys and
/// values are base64, and members with a zero value are left out.
class KeyValueApi
{
public:
    /// Adds the routes to @p server and starts the thread that ends leases.
    void start(EmuServer &server);
    /// Ends every waiting watch with the compact revision and forgets the events so far.
    void compact();
    void saveState();
    bool restoreState();

private:
    struct Watch
    {
        std::string key;
        std::string end;
        std::int64_t next = 0; ///< The first revision not sent yet.
        bool created = false;
        std::uint64_t compactions = 0; ///< The count of compactions when it began.
    };

    void range(const nlohmann::json &body, httplib::Response &response);
    void put(const nlohmann::json &body, httplib::Response &response);
    void transact(const nlohmann::json &body, httplib::Response &response);
    void grantLease(const nlohmann::json &body, httplib::Response &response);
    void keepAlive(const nlohmann::json &body, httplib::Response &response);
    void revokeLease(const nlohmann::json &body, httplib::Response &response);
    void watch(const nlohmann::json &body, httplib::Response &response);
    bool sendWatch(Watch &watch, httplib::DataSink &sink);
    bool holds(const nlohmann::json &comparison) const;
    nlohmann::json header() const;
    nlohmann::json rangeResult(const nlohmann::json &request) const;
    /// Runs one operation of a transaction at revision @p at.
    /// @return its response, or null if it names a lease that doesn't exist.
    nlohmann::json runOperation(const nlohmann::json &operation, std::int64_t at);

    std::mutex mutex;
    std::condition_variable changed;
    KeyValueStore store;
    std::uint64_t compactions = 0;
};

}
