#pragma once

#include "configstore.h"
#include "keyvalueclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Synchronizes the configuration in force with the one in the key-value service. Methods that return a
/// result block and may fail with KeyValueUnavailable. Thread-safe.
class ConfigSync
{
public:
    static constexpr auto CurrentKey = "/cyclamencross/config/current";
    static constexpr auto HistoryPrefix = "/cyclamencross/config/history/";
    /// Number of revisions kept in the history. The keys form a ring buffer, so that old revisions are overwritten and
    /// never have to be deleted.
    static constexpr std::uint64_t HistoryLength = 100;
    /// The key-value service limits values to 1 MB.
    static constexpr std::size_t MaxConfigBytes = 1000000;

    ConfigSync(ConfigStore &store, KeyValueClient &client);

    /// Reads the stored configuration and puts it into force if it is newer.
    /// @param writeBack whether to store the configuration in force if the stored one is older, which happens after the
    /// service was restored from a backup.
    /// @return the revision of the key-value store at the time of the read.
    boost::leaf::result<std::int64_t> pull(bool writeBack);
    /// Puts a stored configuration that a watch delivered into force if it is newer. Does not block on the service.
    /// @return whether it is older than the one in force.
    bool acceptEntry(const KeyValueEntry &entry);
    /// See FleetService::applyConfig().
    boost::leaf::result<std::uint64_t> apply(const std::string &text, std::uint64_t baseRevision,
                                             const std::string &changeId, const std::string &author);
    /// Returns the texts of the revisions in the history, the newest first.
    boost::leaf::result<std::vector<std::string>> history();

private:
    /// The value stored under CurrentKey, with its revisions in the key-value store.
    struct Stored
    {
        FleetConfig config;
        std::int64_t modRevision = 0;
        std::int64_t storeRevision = 0;
    };
    boost::leaf::result<Stored> read();
    /// Stores @p config under CurrentKey and in the history if the current key still has @p modRevision.
    /// @return whether the comparison held.
    boost::leaf::result<bool> write(const FleetConfig &config, std::int64_t modRevision);
    /// Returns the stored configuration that has the change id of @p change, or nothing if the change was not stored.
    boost::leaf::result<std::optional<FleetConfig>> findStoredChange(const Stored &stored, const FleetConfig &change);

    ConfigStore &store;
    KeyValueClient &client;
};

}
