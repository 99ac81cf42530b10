#include "workreservation.h"

#include "cyclamencross/route/backendworktracker.h"

namespace Cyclamen
{

WorkReservation::WorkReservation(std::shared_ptr<BackendWorkTracker> tracker, std::string key, const BackendWork &work)
    : tracker(std::move(tracker))
    , key(std::move(key))
    , work(work)
{
    this->tracker->add(this->key, this->work);
}

void WorkReservation::update(const BackendWork &newWork)
{
    this->tracker->remove(this->key, this->work);
    this->work = newWork;
    this->tracker->add(this->key, this->work);
}

WorkReservation::~WorkReservation()
{
    this->tracker->remove(this->key, this->work);
}

}
