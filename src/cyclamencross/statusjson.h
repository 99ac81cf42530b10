#pragma once

#include <string>

namespace Cyclamen
{

struct FleetView;

/// Returns the JSON body of `GET /admin/status`: this entry, the members and backend servers it knows, and its
/// configuration revision.
std::string statusJson(const FleetView &view);

}
