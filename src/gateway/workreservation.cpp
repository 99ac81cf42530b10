#include "workreservation.h"

#include "cyclamencross/route/workbook.h"

namespace Cyclamen
{

WorkReservation::WorkReservation(WorkBook &book, std::string backend, const BackendWork &work)
    : book(book)
    , backend(std::move(backend))
    , work(work)
{
    this->book.add(this->backend, this->work);
}

WorkReservation::~WorkReservation()
{
    this->book.remove(this->backend, this->work);
}

}
