// The part of Invariants for a store that returns from an older copy.

#include "invariants_test.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// How long after a return an entry is checked for gaps: longer than routers keep entries that the store lacks. Returns
// that follow each other within this time are a series.
constexpr Millis GapCheckTime{4000};

}

void Invariants::recordReturnBegin(Millis duration)
{
    const TimePoint now = this->time.now();
    if (now > this->returnEnd + GapCheckTime) {
        this->returnsBegin = now;
    }
    this->returnEnd = std::max(this->returnEnd, now + duration);
}

void Invariants::recordReturn(const std::set<std::string> &serving, const std::set<std::string> &leaving)
{
    const TimePoint now = this->time.now();
    const std::uint64_t version = std::stoull(this->store.find(VirtualRouter::configKey()).value_or("0"));
    std::erase_if(this->versions, [version](const auto &item) { return item.first > version; });
    for (auto &[id, backend] : this->backends) {
        const auto value = this->store.find(VirtualRouter::backendPrefix() + id);
        const bool usable = value && VirtualRouter::isServing(*value);
        const bool isSettled = now - backend.changedAt >= ChangeTime;
        const bool served = backend.usable && isSettled && !backend.stopped;
        backend.kept = serving.contains(id) && (backend.kept || served);
        backend.left = backend.left && leaving.contains(id);
        // A removal soon after the last return may take until TouchTime after it.
        const bool isInForce = isSettled && now - this->lastReturn >= TouchTime;
        if (!backend.left && leaving.contains(id) && !backend.usable && isInForce) {
            backend.left = true;
            backend.leftAt = backend.changedAt;
        }
        if (usable != backend.usable) {
            backend.changedAt = now;
        }
        backend.usable = usable;
        backend.lapsed = false;
        backend.lost = false;
        backend.returnedAt = TimePoint();
    }
    this->lastReturn = now;
}

void Invariants::recordChangeAfterReturn(BackendTruth &backend, bool usable)
{
    backend.kept = backend.kept && usable;
    backend.left = backend.left && !usable;
}

bool Invariants::knowsOnlyReturnsSince(const VirtualRouter &router, TimePoint begin) const
{
    const auto disturbed = this->disturbedUntil.find(router.process->router);
    const TimePoint routerDisturbedUntil = disturbed == this->disturbedUntil.end() ? TimePoint() : disturbed->second;
    return std::max({routerDisturbedUntil, this->storeDisturbedUntil, this->outageEnd, router.startTime})
        < begin - TouchTime;
}

void Invariants::checkRegistration(const VirtualRouter &router)
{
    const bool hasReturned = this->returnEnd != TimePoint();
    if (hasReturned && this->isUndisturbed(router, RegisterTime)
        && this->registeredAt[router.process->router] < this->returnEnd) {
        this->fail("registered", this->describe(router.state) + " has not registered since the return");
    }
}

void Invariants::checkReturned(const VirtualRouter &router, const std::string &id, const BackendTruth &backend,
                               bool used)
{
    const TimePoint now = this->time.now();
    const bool hasReturned = this->returnEnd != TimePoint() && now >= this->returnEnd;
    if (!hasReturned) {
        return;
    }
    if (!used && backend.kept && now < this->returnEnd + GapCheckTime
        && this->knowsOnlyReturnsSince(router, this->returnsBegin)) {
        this->fail("kept-through-return", this->describe(router.state) + " leaves out " + id);
    }
    if (used && backend.left && this->knowsOnlyReturnsSince(router, backend.leftAt)) {
        this->fail("left-before-return", this->describe(router.state) + " uses " + id + " again");
    }
    // An engine whose stage is to change takes no requests, but is known.
    const BackendServer *server = router.state.backends.find(id);
    const bool isKnown = server != nullptr && router.state.isRegistered(*server);
    const bool isSettled = backend.usable && !backend.stopped && now - backend.changedAt >= ChangeTime;
    if (!isKnown && isSettled && this->isUndisturbed(router, TouchTime)) {
        this->fail("left-out", this->describe(router.state) + " does not know " + id);
    }
}

}
