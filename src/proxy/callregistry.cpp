#include "callregistry.h"

namespace Cyclamen
{

namespace
{

constexpr Millis WaitInterval{10}; // How soon a waiting call notices its cancellation.

}

CallRegistry::CallRegistry(ClockHook now)
    : now(std::move(now))
{
}

CallRegistry::Lookup CallRegistry::begin(const std::string &key, const std::string &requestHash)
{
    const std::scoped_lock lock(this->mutex);
    return this->beginLocked(key, requestHash);
}

CallRegistry::Lookup CallRegistry::beginLocked(const std::string &key, const std::string &requestHash)
{
    this->removeExpired();
    const auto found = this->calls.find(key);
    if (found != this->calls.end()) {
        const Lookup lookup = this->lookupFor(found->second, requestHash);
        if (lookup.keyStatus == KeyStatus::AfterRefusal) {
            found->second.state = State::Running;
        }
        return lookup;
    }
    if (this->calls.size() >= MaxKeys) {
        return Lookup{KeyStatus::Full, {}};
    }
    this->calls.emplace(key, Call{State::Running, requestHash, "", {}, {}});
    return Lookup{KeyStatus::New, {}};
}

CallRegistry::Lookup CallRegistry::beginOrWait(const std::string &key, const std::string &requestHash,
                                               const CancelSignal &cancel)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        Lookup lookup = this->beginLocked(key, requestHash);
        if (lookup.keyStatus != KeyStatus::Running || cancel.reason() != CancelReason::None) {
            return lookup;
        }
        this->callEnded.wait_for(lock, WaitInterval);
    }
}

CallRegistry::Lookup CallRegistry::peek(const std::string &key, const std::string &requestHash)
{
    const std::scoped_lock lock(this->mutex);
    this->removeExpired();
    const auto found = this->calls.find(key);
    return found == this->calls.end() ? Lookup{KeyStatus::New, {}} : this->lookupFor(found->second, requestHash);
}

CallRegistry::Lookup CallRegistry::lookupFor(const Call &call, const std::string &requestHash) const
{
    if (call.requestHash != requestHash) {
        return Lookup{KeyStatus::RequestMismatch, {}};
    }
    switch (call.state) {
    case State::Running:
        return Lookup{KeyStatus::Running, {}};
    case State::Kept:
        return Lookup{KeyStatus::Finished, call.result};
    case State::Refused:
        return Lookup{KeyStatus::AfterRefusal, {}};
    case State::Dropped:
        break;
    }
    return Lookup{KeyStatus::ResultDropped, {}};
}

void CallRegistry::setAttempt(const std::string &key, const std::string &attempt)
{
    const std::scoped_lock lock(this->mutex);
    this->calls.at(key).attempt = attempt;
}

std::string CallRegistry::attempt(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    return this->calls.at(key).attempt;
}

void CallRegistry::finish(const std::string &key, const HttpReply &result)
{
    const std::scoped_lock lock(this->mutex);
    Call &call = this->calls.at(key);
    this->endCall(key, call, State::Dropped);
    if (result.body.size() <= MaxResultBytes) {
        call.state = State::Kept;
        call.result = result;
        this->totalBytes += result.body.size();
        this->keysWithResult.push_back(key);
        while (this->totalBytes > MaxTotalResultBytes) {
            this->dropResult(this->calls.at(this->keysWithResult.front()));
            this->keysWithResult.pop_front();
        }
    }
    this->callEnded.notify_all();
}

void CallRegistry::markRefused(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    this->endCall(key, this->calls.at(key), State::Refused);
    this->callEnded.notify_all();
}

void CallRegistry::remove(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    this->calls.erase(key);
    this->callEnded.notify_all();
}

void CallRegistry::endCall(const std::string &key, Call &call, State state)
{
    call.endTime = this->now();
    call.state = state;
    this->endedCalls.emplace_back(call.endTime, key);
}

void CallRegistry::dropResult(Call &call)
{
    this->totalBytes -= call.result.body.size();
    call.result = HttpReply();
    call.state = State::Dropped;
}

void CallRegistry::removeExpired()
{
    const TimePoint time = this->now();
    while (!this->keysWithResult.empty()) {
        Call &oldest = this->calls.at(this->keysWithResult.front());
        if (time - oldest.endTime < ResultLifetime) {
            break;
        }
        this->dropResult(oldest);
        this->keysWithResult.pop_front();
    }
    while (!this->endedCalls.empty() && time - this->endedCalls.front().first >= KeyLifetime) {
        // A key that was begun again after this end is kept; it gets its own element when it ends.
        const auto found = this->calls.find(this->endedCalls.front().second);
        if (found != this->calls.end() && found->second.state != State::Running
            && found->second.endTime == this->endedCalls.front().first) {
            this->calls.erase(found);
        }
        this->endedCalls.pop_front();
    }
}

}
