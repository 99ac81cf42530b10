#include "workreservation.h"

#include "cyclamencross/route/workbook.h"

namespace Cyclamen
{

WorkReservation::WorkReservation(std::shared_ptr<WorkBook> book, std::string key, const BackendWork &work)
    : book(std::move(book))
    , key(std::move(key))
    , work(work)
{
    this->book->add(this->key, this->work);
}

WorkReservation::~WorkReservation()
{
    this->book->remove(this->key, this->work);
}

}
