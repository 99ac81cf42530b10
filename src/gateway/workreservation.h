#pragma once

#include "cyclamencross/route/backendwork.h"

#include <memory>
#include <string>

namespace Cyclamen
{

class BackendWorkTracker;

/// Adds work to a BackendWorkTracker on construction and removes it on destruction.
class WorkReservation
{
public:
    /// @param key backend server on which the work is placed, or the service for which a request waits.
    WorkReservation(std::shared_ptr<BackendWorkTracker> tracker, std::string key, const BackendWork &work);
    ~WorkReservation();
    /// Replaces the work, of which the reservation keeps a copy.
    void update(const BackendWork &newWork);
    WorkReservation(const WorkReservation &) = delete;
    WorkReservation &operator=(const WorkReservation &) = delete;

private:
    std::shared_ptr<BackendWorkTracker> tracker;
    std::string key;
    BackendWork work;
};

}
