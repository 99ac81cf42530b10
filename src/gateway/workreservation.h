#pragma once

#include "cyclamencross/route/backendwork.h"

#include <string>

namespace Cyclamen
{

class RouterState;

/// Counts work on a backend server while it exists.
class WorkReservation
{
public:
    WorkReservation(RouterState &state, std::string backend, const BackendWork &work);
    ~WorkReservation();
    WorkReservation(const WorkReservation &) = delete;
    WorkReservation &operator=(const WorkReservation &) = delete;

private:
    RouterState &state;
    std::string backend;
    BackendWork work;
};

}
