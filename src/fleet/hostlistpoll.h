#pragma once

#include "hostlist.h"

#include "cyclamencross/base/settings.h"

#include <functional>
#include <memory>

namespace Cyclamen
{

/// Reads the platform's host list again and again on a thread of its own.
class HostListPoll
{
public:
    using Receiver = std::function<void(const HostList &)>;

    /// @param receiver gets each list read, on the polling thread.
    HostListPoll(const Settings &settings, Receiver receiver);
    ~HostListPoll();
    HostListPoll(const HostListPoll &) = delete;
    HostListPoll &operator=(const HostListPoll &) = delete;

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
