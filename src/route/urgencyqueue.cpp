#include "cyclamencross/route/urgencyqueue.h"

#include <utility>

namespace Cyclamen
{

UrgencyQueue::Ticket UrgencyQueue::add(const std::string &service, const std::string &request, const Urgency &urgency,
                                       std::function<void()> wake)
{
    this->entries.emplace(++this->lastTicket, Entry{service, request, urgency, std::move(wake), std::nullopt});
    return this->lastTicket;
}

void UrgencyQueue::update(Ticket ticket, const Urgency &urgency)
{
    this->entries.at(ticket).urgency = urgency;
}

void UrgencyQueue::recordNoRoom(Ticket ticket, TimePoint now)
{
    Entry &entry = this->entries.at(ticket);
    entry.noRoomSince = entry.noRoomSince.value_or(now);
}

void UrgencyQueue::remove(Ticket ticket)
{
    this->entries.erase(ticket);
}

std::optional<std::string> UrgencyQueue::ahead(Ticket ticket, TimePoint now) const
{
    const Entry &own = this->entries.at(ticket);
    for (const auto &[otherTicket, other] : this->entries) {
        if (otherTicket == ticket || other.service != own.service) {
            continue;
        }
        const bool isEarlierEqual = otherTicket < ticket && !own.urgency.isBefore(other.urgency, now);
        const bool goesFirst = isEarlierEqual || other.urgency.isBefore(own.urgency, now);
        const bool isGathering = !other.noRoomSince || now - *other.noRoomSince < HoldTime;
        // A request that is on time holds back less urgent ones as long as it is, which is short. One that has begun
        // may have tried most engines before, so that no room helps it.
        const bool isMoreUrgent = other.urgency.isOnTime(now)
            && (!own.urgency.isOnTime(now) || other.urgency.waitClass() < own.urgency.waitClass());
        const bool holds = isGathering || (isMoreUrgent && !other.urgency.isBegun());
        if (goesFirst && holds) {
            return other.request;
        }
    }
    return std::nullopt;
}

std::optional<UrgencyQueue::Ticket> UrgencyQueue::first(const std::string &service, TimePoint now) const
{
    const std::pair<const Ticket, Entry> *best = nullptr;
    for (const auto &item : this->entries) {
        const bool isBetter = best == nullptr || item.second.urgency.isBefore(best->second.urgency, now);
        best = item.second.service == service && isBetter ? &item : best;
    }
    return best == nullptr ? std::nullopt : std::optional(best->first);
}

void UrgencyQueue::wakeFirst(const std::string &service, TimePoint now) const
{
    const auto ticket = this->first(service, now);
    if (ticket && this->entries.at(*ticket).wake) {
        this->entries.at(*ticket).wake();
    }
}

std::map<std::pair<std::string, int>, std::int64_t> UrgencyQueue::counts() const
{
    std::map<std::pair<std::string, int>, std::int64_t> result;
    for (const auto &[ticket, entry] : this->entries) {
        ++result[{entry.service, entry.urgency.priority()}];
    }
    return result;
}

}
