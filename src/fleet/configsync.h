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

/// Keeps the configuration in force and the one in the key-value service in step. Its methods block and are
/// thread-safe.
class ConfigSync
{
public:
    static constexpr auto CurrentKey = "/cyclamencross/config/current";
    static constexpr auto HistoryPrefix = "/cyclamencross/config/history/";
    /// Revisions kept in the history. Their keys are reused in a ring, so that no revision has to be deleted.
    static constexpr std::uint64_t HistoryLength = 100;
    /// The key-value service stores values of up to 1 MB.
    static constexpr std::size_t MaxConfigBytes = 1000000;

    ConfigSync(ConfigStore &store, KeyValueClient &client);

    /// Reads the stored configuration and puts it into force if it is newer.
    /// @param writeBack whether to store the one in force if the stored one is older, as after a restored backup.
    /// @return the revision of the key-value store that was read.
    boost::leaf::result<std::int64_t> pull(bool writeBack);
    /// Takes a stored configuration that was read otherwise, by a watch.
    /// @return whether it is older than the one in force.
    bool take(const KeyValueEntry &entry);
    /// See FleetService::applyConfig().
    boost::leaf::result<std::uint64_t> apply(const std::string &text, std::uint64_t baseRevision,
                                             const std::string &changeId, const std::string &author);
    /// Returns the texts of the revisions in the history, the newest first.
    boost::leaf::result<std::vector<std::string>> history();

private:
    /// What is stored under CurrentKey.
    struct Stored
    {
        FleetConfig config;
        std::int64_t modRevision = 0;
        std::int64_t storeRevision = 0;
    };
    boost::leaf::result<Stored> read();
    boost::leaf::result<bool> write(const FleetConfig &config, std::int64_t modRevision);
    /// Returns the stored configuration with the change id of @p wanted, if that change was stored.
    boost::leaf::result<std::optional<FleetConfig>> findStored(const Stored &stored, const FleetConfig &wanted);

    ConfigStore &store;
    KeyValueClient &client;
};

}
