#pragma once

#include "adminclient.h"
#include "adminroutes.h"

#include "cyclamencross/admin/adminserver.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/settings.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A temporary file that is removed at the end of its lifetime, for tests.
struct TextFile
{
    explicit TextFile(const std::string &content);
    ~TextFile();
    TextFile(const TextFile &) = delete;
    TextFile &operator=(const TextFile &) = delete;

    std::string path;
};

/// What a subcommand printed and returned.
struct Output
{
    int exitCode = 0;
    std::string text;
    std::string errors;
};

/// The admin port of an entry on loopback with an in-memory fleet state, for tests of the admin routes and subcommands.
struct FakeEntry
{
    FakeEntry(const std::string &configText, std::uint64_t revision);

    /// Runs a subcommand with a --settings file that refers to this entry.
    Output run(const std::function<int(int, const char *const *)> &command, std::vector<std::string> arguments) const;
    AdminClient client() const;
    /// Stores @p changed as the current configuration and adds it to the history.
    void store(const std::string &changed, std::uint64_t revision, const std::string &changeId,
               const std::string &author);
    std::uint64_t revision() const;

    bool loseReplies = false; ///< Each change fails with KeyValueUnavailable, whether or not it was stored.
    bool dropWrites = false; ///< No change is stored.
    std::string followingChangeId; ///< Id of another change that is stored right after each change; none if empty.
    int applyCalls = 0; ///< Calls of applyConfig.
    std::vector<CrashReport> crashes;

    mutable std::mutex mutex;
    FleetView view;
    std::string text;
    std::vector<std::string> history; ///< Configuration texts, newest first.
    Settings settings;
    Metrics metrics;
    AdminServer server;

private:
    AdminHooks hooks();
    boost::leaf::result<std::uint64_t> apply(const std::string &changed, std::uint64_t base,
                                             const std::string &changeId, const std::string &author);
};

}
