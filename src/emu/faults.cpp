#include "faults.h"

#include "connection.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis StallPollPeriod{20};

bool appliesTo(const Fault &fault, std::string_view kind, std::string_view path, std::string_view body)
{
    return fault.kind == kind && fault.remainingUses != 0 && path.starts_with(fault.pathPrefix)
        && (fault.bodyText.empty() || body.find(fault.bodyText) != std::string_view::npos);
}

}

std::uint64_t Faults::add(Fault fault)
{
    const std::lock_guard lock(this->mutex);
    fault.id = this->nextId++;
    this->faults.push_back(fault);
    return fault.id;
}

void Faults::clear(std::string_view kind)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->faults, [kind](const Fault &fault) { return kind.empty() || fault.kind == kind; });
    this->changed.notify_all();
}

std::optional<Fault> Faults::consume(std::string_view kind, std::string_view path, std::string_view body)
{
    const std::lock_guard lock(this->mutex);
    const auto found =
        std::ranges::find_if(this->faults, [&](const Fault &fault) { return appliesTo(fault, kind, path, body); });
    if (found == this->faults.end()) {
        return std::nullopt;
    }
    if (found->remainingUses > 0) {
        --found->remainingUses;
    }
    return *found;
}

Millis Faults::delayOf(std::string_view kind) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = std::ranges::find_if(this->faults, [kind](const Fault &fault) { return fault.kind == kind; });
    return found == this->faults.end() ? Millis(0) : found->delay;
}

void Faults::waitWhileStalled(const Fault &fault)
{
    const TimePoint end = Clock::now() + fault.delay;
    std::unique_lock lock(this->mutex);
    const auto isActive = [this, &fault] {
        return std::ranges::any_of(this->faults, [&fault](const Fault &other) { return other.id == fault.id; });
    };
    while (isActive() && (fault.delay == Millis(0) || Clock::now() < end) && !Connection::peerClosed()) {
        this->changed.wait_for(lock, StallPollPeriod);
    }
}

std::string Faults::list() const
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const Fault &fault : this->faults) {
        list.push_back({{"kind", fault.kind},
                        {"path", fault.pathPrefix},
                        {"text", fault.bodyText},
                        {"times", fault.remainingUses},
                        {"ms", fault.delay.count()}});
    }
    return list.dump();
}

}
