#pragma once

#include "keyvalueentry.h"

#include "cyclamencross/base/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamen
{

class Metrics;

/// One watch of one key. run() blocks in it; stop() ends it from another thread.
class KeyValueWatch
{
public:
    using Receiver = std::function<void(const KeyValueEntry &)>;

    /// A watch that has been silent for this long is opened anew, since its connection may be dead.
    /// The read in front of the next watch also notices a service that came back with an older state, which sends no
    /// event; 5 s keeps the repair within the 10 s in which a configuration must be in force.
    static constexpr Millis LongestSilence{5000};

    KeyValueWatch(const Settings &settings, Metrics &metrics);
    ~KeyValueWatch();
    KeyValueWatch(const KeyValueWatch &) = delete;
    KeyValueWatch &operator=(const KeyValueWatch &) = delete;

    /// Passes each change of @p key since @p startRevision to @p receiver until the stream ends.
    /// @return whether the service had accepted the watch.
    bool run(const std::string &key, std::int64_t startRevision, const Receiver &receiver);
    /// Ends the watch, and each later one at once. A watch that is just connecting may miss it, so it is repeated until
    /// run() has returned.
    void stop();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
