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

/// Failure: the lease does not exist or has expired.
struct LeaseNotFound
{
};

/// Sends one JSON request to the key-value service.
/// @return the body of a successful response; or LeaseNotFound; or KeyValueUnavailable, after which the request may
/// still have taken effect.
using KeyValueCall = std::function<boost::leaf::result<std::string>(const std::string &path, const std::string &body)>;

/// Client of the key-value service, which speaks the etcd v3 JSON protocol. Methods block, are thread-safe if the
/// KeyValueCall is, and may fail with KeyValueUnavailable.
class KeyValueClient
{
public:
    /// Result of a read, with the revision of the store at that time.
    struct Read
    {
        std::optional<KeyValueEntry> entry;
        std::int64_t revision = 0;
    };

    KeyValueClient(KeyValueCall call, Metrics &metrics);

    boost::leaf::result<Read> get(const std::string &key);
    /// Returns up to @p limit entries whose keys begin with @p prefix, sorted by key.
    boost::leaf::result<std::vector<KeyValueEntry>> getPrefix(const std::string &prefix, int limit);
    /// Runs a transaction. May fail with LeaseNotFound.
    boost::leaf::result<KeyValueTxnResult> transact(const KeyValueTxn &txn);
    /// Creates a lease that expires after @p seconds and returns its id.
    boost::leaf::result<std::int64_t> grantLease(std::int64_t seconds);
    /// Renews a lease. @return its remaining seconds, or LeaseNotFound.
    boost::leaf::result<std::int64_t> keepAlive(std::int64_t lease);
    boost::leaf::result<void> revokeLease(std::int64_t lease);

private:
    /// Calls the service and counts the call under @p kind in the metrics.
    boost::leaf::result<std::string> send(const char *kind, const std::string &path, const std::string &body);

    KeyValueCall call;
    Metrics &metrics;
};

}
