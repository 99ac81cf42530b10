#pragma once

#include "cyclamencross/gateway/backendwire.h"
#include "cyclamencross/gateway/entrywire.h"
#include "cyclamencross/gateway/fleetcodec.h"
#include "cyclamencross/gateway/routersettings.h"
#include "cyclamencross/gateway/statestore.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace Cyclamen
{

/// The platform-specific parts of the router: protocols, codecs and the store client.
struct RouterHooks
{
    BackendWire backendWire;
    EntryWire entryWire;
    FleetCodec fleetCodec;
    /// Creates the store client.
    std::function<StateStore(boost::asio::any_io_executor executor, const RouterSettings &settings)> makeStore;
};

/// Runs a router until SIGTERM or SIGINT tells it to stop and its requests have finished or the grace period is over.
/// @param settingsPath file that is read again on SIGHUP.
/// @return the exit code of the process: 0, or 1 if a port could not be opened.
int runRouter(const RouterSettings &settings, const std::string &settingsPath, const RouterHooks &hooks);

}
