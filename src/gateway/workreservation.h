#pragma once

#include "cyclamencross/route/backendwork.h"

#include <memory>
#include <string>

namespace Cyclamen
{

class WorkBook;

/// Adds work to a WorkBook on construction and removes it on destruction.
class WorkReservation
{
public:
    /// @param key backend server on which the work is placed, or the service for which a request waits.
    WorkReservation(std::shared_ptr<WorkBook> book, std::string key, const BackendWork &work);
    ~WorkReservation();
    WorkReservation(const WorkReservation &) = delete;
    WorkReservation &operator=(const WorkReservation &) = delete;

private:
    std::shared_ptr<WorkBook> book;
    std::string key;
    BackendWork work;
};

}
