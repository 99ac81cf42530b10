#include "cyclamencross/decide/requeststate.h"

namespace Cyclamen
{

int RequestState::dispatch()
{
    ++this->lastAttempt;
    if (this->current == Phase::Queued || this->current == Phase::Dispatched) {
        this->current = Phase::Dispatched;
        this->openAttempts.insert(this->lastAttempt);
    }
    return this->lastAttempt;
}

void RequestState::rejectedByBackend()
{
    this->rejectedByBackend(this->lastAttempt);
}

void RequestState::rejectedByBackend(int attempt)
{
    if (this->current != Phase::Dispatched) {
        return;
    }
    this->openAttempts.erase(attempt);
    if (this->openAttempts.empty()) {
        this->current = Phase::Queued;
    }
}

void RequestState::workDone()
{
    if (this->current != Phase::Ended) {
        this->workObserved = true;
    }
}

void RequestState::answering()
{
    if (this->current != Phase::Ended) {
        this->current = Phase::Answering;
    }
}

void RequestState::complete()
{
    this->current = Phase::Ended;
}

RunOutcome RequestState::outcomeOnFailure() const
{
    switch (this->current) {
    case Phase::Ended:
        return RunOutcome::Done;
    case Phase::Answering:
        return RunOutcome::Failed;
    case Phase::Dispatched:
        return this->workObserved ? RunOutcome::Failed : RunOutcome::Unknown;
    case Phase::Queued:
        break;
    }
    return this->workObserved ? RunOutcome::Failed : RunOutcome::NotRun;
}

RequestState::Phase RequestState::phase() const
{
    return this->current;
}

}
