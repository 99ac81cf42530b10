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

/// What the router needs from outside to speak the language of a platform.
struct RouterHooks
{
    BackendWire backendWire;
    EntryWire entryWire;
    FleetCodec fleetCodec;
    /// Makes the client of the store.
    std::function<StateStore(boost::asio::any_io_executor executor, const RouterSettings &settings)> makeStore;
};

/// Runs a router until it is told to stop by SIGTERM or SIGINT and has ended its requests.
/// @param settingsPath read again on SIGHUP.
/// @return the exit code.
int runRouter(const RouterSettings &settings, const std::string &settingsPath, const RouterHooks &hooks);

}
