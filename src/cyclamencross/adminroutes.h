#pragma once

#include "cyclamencross/base/crashreport.h"
#include "cyclamencross/base/fleetview.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class AdminServer;

/// Callbacks that connect the admin routes to the entry process; see FleetService for their contracts.
struct AdminHooks
{
    std::function<FleetViewPtr()> view;
    std::function<std::string()> configText;
    std::function<boost::leaf::result<std::uint64_t>(const std::string &text, std::uint64_t baseRevision,
                                                     const std::string &changeId, const std::string &author)>
        applyConfig;
    std::function<boost::leaf::result<std::vector<std::string>>()> configHistory;
    std::function<std::vector<CrashReport>()> crashes;
    std::function<void(std::uint64_t)> liftCrash;
};

/// Adds the routes for operators and the route from which peers fetch the configuration to @p server:
/// `GET /admin/status`, `GET|POST /admin/config`, `GET /admin/config/history`, `GET /admin/crashes`,
/// `POST /admin/crashes/lift` and `GET /peer/config`.
void addAdminRoutes(AdminServer &server, AdminHooks hooks);

}
