#pragma once

#include "cyclamencross/route/backendwork.h"

#include <string>

namespace Cyclamen
{

class WorkBook;

/// Keeps work in a book while it exists.
class WorkReservation
{
public:
    WorkReservation(WorkBook &book, std::string backend, const BackendWork &work);
    ~WorkReservation();
    WorkReservation(const WorkReservation &) = delete;
    WorkReservation &operator=(const WorkReservation &) = delete;

private:
    WorkBook &book;
    std::string backend;
    BackendWork work;
};

}
