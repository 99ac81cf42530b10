#pragma once

#include "keyvalueentry.h"

#include "cyclamencross/base/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamen
{

class Metrics;

/// Watches one key of the key-value service. run() blocks; stop() ends it from another thread.
class KeyValueWatch
{
public:
    using Receiver = std::function<void(const KeyValueEntry &)>;

    /// Time without data after which a watch ends and is reopened, since its connection may be dead. The read before
    /// the next watch also detects a service that was restored to an older state, for which no event is sent. 5 s leave
    /// enough time for the repair, since a configuration must be in force within 10 s.
    static constexpr Millis MaxSilence{5000};

    KeyValueWatch(const Settings &settings, Metrics &metrics);
    ~KeyValueWatch();
    KeyValueWatch(const KeyValueWatch &) = delete;
    KeyValueWatch &operator=(const KeyValueWatch &) = delete;

    /// Passes each change of @p key since @p startRevision to @p receiver until the stream ends.
    /// @return whether the service accepted the watch.
    bool run(const std::string &key, std::int64_t startRevision, const Receiver &receiver);
    /// Ends the watch, and any later run() immediately. A watch that is just connecting may miss the call, so callers
    /// repeat it until run() has returned.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
