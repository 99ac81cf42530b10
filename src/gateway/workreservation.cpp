#include "workreservation.h"

#include "cyclamencross/route/workbook.h"

namespace Cyclamen
{

WorkReservation::WorkReservation(std::shared_ptr<WorkBook> book, std::string backend, const BackendWork &work)
    : book(std::move(book))
    , backend(std::move(backend))
    , work(work)
{
    this->book->add(this->backend, this->work);
}

WorkReservation::~WorkReservation()
{
    this->book->remove(this->backend, this->work);
}

}
