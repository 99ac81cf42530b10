#pragma once

#include "cyclamencross/route/backendwork.h"

#include <memory>
#include <string>

namespace Cyclamen
{

class WorkBook;

/// Keeps work in a book while it exists.
class WorkReservation
{
public:
    WorkReservation(std::shared_ptr<WorkBook> book, std::string backend, const BackendWork &work);
    ~WorkReservation();
    WorkReservation(const WorkReservation &) = delete;
    WorkReservation &operator=(const WorkReservation &) = delete;

private:
    std::shared_ptr<WorkBook> book;
    std::string backend;
    BackendWork work;
};

}
