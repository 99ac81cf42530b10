#include "callregistry.h"

namespace Cyclamen
{

namespace
{

constexpr Millis WaitStep{10}; // How soon a waiting resend sees that its caller is gone.

}

CallRegistry::CallRegistry(ClockHook now)
    : now(std::move(now))
{
}

CallRegistry::Answer CallRegistry::begin(const std::string &key, const std::string &requestHash)
{
    const std::scoped_lock lock(this->mutex);
    return this->beginLocked(key, requestHash);
}

CallRegistry::Answer CallRegistry::beginLocked(const std::string &key, const std::string &requestHash)
{
    this->expire();
    const auto found = this->calls.find(key);
    if (found != this->calls.end()) {
        const Answer answer = this->answerFor(found->second, requestHash);
        if (answer.standing == Standing::Again) {
            found->second.state = State::Running;
        }
        return answer;
    }
    if (this->calls.size() >= MaxKeys) {
        return Answer{Standing::Full, {}};
    }
    this->calls.emplace(key, Call{State::Running, requestHash, "", {}, {}});
    return Answer{Standing::New, {}};
}

CallRegistry::Answer CallRegistry::beginOrWait(const std::string &key, const std::string &requestHash,
                                               const CancelSignal &cancel)
{
    std::unique_lock lock(this->mutex);
    while (true) {
        Answer answer = this->beginLocked(key, requestHash);
        if (answer.standing != Standing::Running || cancel.reason() != CancelReason::None) {
            return answer;
        }
        this->ended.wait_for(lock, WaitStep);
    }
}

CallRegistry::Answer CallRegistry::look(const std::string &key, const std::string &requestHash)
{
    const std::scoped_lock lock(this->mutex);
    this->expire();
    const auto found = this->calls.find(key);
    return found == this->calls.end() ? Answer{Standing::New, {}} : this->answerFor(found->second, requestHash);
}

CallRegistry::Answer CallRegistry::answerFor(const Call &call, const std::string &requestHash) const
{
    if (call.requestHash != requestHash) {
        return Answer{Standing::OtherRequest, {}};
    }
    switch (call.state) {
    case State::Running:
        return Answer{Standing::Running, {}};
    case State::Kept:
        return Answer{Standing::Finished, call.result};
    case State::Refused:
        return Answer{Standing::Again, {}};
    case State::Dropped:
        break;
    }
    return Answer{Standing::ResultDropped, {}};
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
    this->end(key, call, State::Dropped);
    if (result.body.size() <= MaxBodyBytes) {
        call.state = State::Kept;
        call.result = result;
        this->totalBytes += result.body.size();
        this->kept.push_back(key);
        while (this->totalBytes > MaxTotalBytes) {
            this->drop(this->calls.at(this->kept.front()));
            this->kept.pop_front();
        }
    }
    this->ended.notify_all();
}

void CallRegistry::refused(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    this->end(key, this->calls.at(key), State::Refused);
    this->ended.notify_all();
}

void CallRegistry::forget(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    this->calls.erase(key);
    this->ended.notify_all();
}

void CallRegistry::end(const std::string &key, Call &call, State state)
{
    call.ended = this->now();
    call.state = state;
    this->remembered.emplace_back(call.ended, key);
}

void CallRegistry::drop(Call &call)
{
    this->totalBytes -= call.result.body.size();
    call.result = HttpReply();
    call.state = State::Dropped;
}

void CallRegistry::expire()
{
    const TimePoint time = this->now();
    while (!this->kept.empty()) {
        Call &oldest = this->calls.at(this->kept.front());
        if (time - oldest.ended < ResultLifetime) {
            break;
        }
        this->drop(oldest);
        this->kept.pop_front();
    }
    while (!this->remembered.empty() && time - this->remembered.front().first >= KeyLifetime) {
        // A key that was begun again has a newer entry of its own.
        const auto found = this->calls.find(this->remembered.front().second);
        if (found != this->calls.end() && found->second.state != State::Running
            && found->second.ended == this->remembered.front().first) {
            this->calls.erase(found);
        }
        this->remembered.pop_front();
    }
}

}
