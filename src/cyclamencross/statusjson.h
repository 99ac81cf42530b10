#pragma once

#include <string>

namespace Cyclamen
{

struct FleetView;

/// Returns the body of `GET /admin/status`: this entry, its members, backend servers and configuration revision.
std::string statusJson(const FleetView &view);

}
