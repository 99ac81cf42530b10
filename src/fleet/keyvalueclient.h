#pragma once

#include "keyvaluetxn.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class Metrics;

/// The lease that a value was to be attached to does not exist (any more).
struct LeaseNotFound
{
};

/// Sends one JSON request to the key-value service.
/// @return the body of a successful answer, LeaseNotFound, or KeyValueUnavailable; after the last, the request may
/// still have taken effect.
using KeyValueCall = std::function<boost::leaf::result<std::string>(const std::string &path, const std::string &body)>;

/// The key-value service by the published etcd v3 JSON protocol. Its methods block and are thread-safe if the call
/// hook is. Each may fail with KeyValueUnavailable.
class KeyValueClient
{
public:
    /// What a read found, and the revision of the store at that moment.
    struct Read
    {
        std::optional<KeyValueEntry> entry;
        std::int64_t revision = 0;
    };

    KeyValueClient(KeyValueCall call, Metrics &metrics);

    boost::leaf::result<Read> get(const std::string &key);
    /// Returns up to @p limit entries whose keys begin with @p prefix, sorted by key.
    boost::leaf::result<std::vector<KeyValueEntry>> getPrefix(const std::string &prefix, int limit);
    boost::leaf::result<KeyValueTxnResult> transact(const KeyValueTxn &txn);
    /// Returns the id of a new lease.
    boost::leaf::result<std::int64_t> grantLease(std::int64_t seconds);
    /// Renews a lease. @return its seconds left, or LeaseNotFound.
    boost::leaf::result<std::int64_t> keepAlive(std::int64_t lease);
    boost::leaf::result<void> revokeLease(std::int64_t lease);

private:
    boost::leaf::result<std::string> send(const char *kind, const std::string &path, const std::string &body);

    KeyValueCall call;
    Metrics &metrics;
};

}
