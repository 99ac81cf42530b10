#include "workreservation.h"

#include "routerstate.h"

namespace Cyclamen
{

WorkReservation::WorkReservation(RouterState &state, std::string backend, const BackendWork &work)
    : state(state)
    , backend(std::move(backend))
    , work(work)
{
    this->state.work.add(this->backend, this->work);
}

WorkReservation::~WorkReservation()
{
    this->state.work.remove(this->backend, this->work);
}

}
