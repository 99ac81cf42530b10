#pragma once

#include "hostlist.h"

#include "cyclamencross/base/settings.h"

#include <functional>
#include <memory>

namespace Cyclamen
{

/// Polls the platform's host list on a background thread.
class HostListPoller
{
public:
    using Receiver = std::function<void(const HostList &)>;

    /// @param receiver called with the list after each successful poll, also if it is unchanged, on the polling thread.
    HostListPoller(const Settings &settings, Receiver receiver);
    ~HostListPoller();
    HostListPoller(const HostListPoller &) = delete;
    HostListPoller &operator=(const HostListPoller &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
