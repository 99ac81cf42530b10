// The part of StreamRequestHandler that passes events on to callers, which may read them slowly.

#include "httpsession.h"
#include "streamrequesthandler.h"

#include "cyclamencross/route/slowcallerrule.h"

namespace Cyclamen
{

boost::asio::awaitable<void> StreamRequestHandler::passOn(const std::string &events)
{
    const TimePoint start = Clock::now();
    const bool admitted = this->session.queueChunk(events);
    while (!this->session.isCallerDisconnected()) {
        const std::size_t unsent = this->session.unsentBytes();
        const auto paused = std::chrono::duration_cast<Millis>(Clock::now() - start);
        const SlowCallerRule::Action action = SlowCallerRule::nextAction(unsent, admitted, paused);
        if (action == SlowCallerRule::Action::ReadOn) {
            break;
        }
        if (action == SlowCallerRule::Action::Cut) {
            this->session.cut(admitted ? "buffer-full" : "no-memory");
            break;
        }
        co_await this->session.waitForRoom(SlowCallerRule::pauseLimit(admitted), start + SlowCallerRule::MaxPause);
        this->progress->lastActivity = Clock::now(); // The engine was not read, so its silence says nothing.
    }
}

void StreamRequestHandler::endWork()
{
    this->progress->finished = true;
    this->workReservation = nullptr;
}

}
