#include "fleetstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/decide/rendezvous.h"

#include "configwatcher.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

namespace
{

// Tolerated clock difference between entries. A crash dated further in the future would stay in force too long.
constexpr std::int64_t ClockSkewSeconds = 60;
constexpr std::chrono::seconds CrashPublishPeriod{1};

}

FleetState::FleetState(const Settings &settings, const Member &self, Hooks hooks, TimePoint now)
    : settings(settings)
    , hooks(std::move(hooks))
    , membership(
          settings, self,
          Membership::Hooks{
              this->hooks.send,
              [this](const CrashReport &report) {
                  const std::int64_t age = this->unixNow - report.unixTime;
                  const bool isNew =
                      age < CrashLedger::LifetimeSeconds && age > -ClockSkewSeconds && this->crashes.add(report);
                  if (isNew) {
                      this->publishCrashes(this->unixNow);
                  }
                  return isNew;
              },
              [this](const CrashLift &lift) {
                  this->crashes.lift(lift.fingerprint, lift.upTo);
                  this->publishCrashes(this->unixNow);
              },
              [this](const BackendDeparture &departure) { return this->recordDeparture(departure); },
              [this](const MemberRecord &peer) { this->hooks.fetchConfig(peer.adminAddress, peer.configRevision); }},
          randomNumber())
    , started(now)
{
    this->publish(now);
}

void FleetState::tick(TimePoint now, std::int64_t unixTime, std::uint32_t load)
{
    this->unixNow = unixTime;
    this->membership.setLoad(load);
    this->membership.tick(now);
    if (now - this->lastCrashPublished >= CrashPublishPeriod) {
        this->lastCrashPublished = now;
        this->publishCrashes(unixTime);
    }
    if (const bool isolatedNow = this->isIsolated(now); isolatedNow != this->isolated) {
        this->isolated = isolatedNow;
        this->dirty = true;
        LogLine(isolatedNow ? "entry-isolated" : "entry-not-isolated").warn();
    }
    if (std::exchange(this->departuresChanged, false)) {
        this->backends = this->departures.effectiveBackends();
        this->dirty = true;
    }
    const MemberTable &members = this->membership.members();
    const bool loadDue = members.loadVersion() != this->publishedLoad && now - this->lastPublished >= LoadPublishPeriod;
    if (this->dirty || members.stateVersion() != this->publishedState || loadDue) {
        this->publish(now);
    }
}

bool FleetState::receive(const Datagram &datagram, TimePoint now, std::int64_t unixTime)
{
    this->unixNow = unixTime;
    this->now = now;
    return this->membership.receive(datagram, now);
}

void FleetState::updateHostList(const HostList &list, TimePoint now)
{
    this->lastHostList = now;
    for (const BackendDeparture &departure : this->departures.updateHostList(list, now)) {
        this->membership.disseminate(departure);
    }
    std::vector<Backend> next = this->departures.effectiveBackends();
    if (!this->ready || next != this->backends) {
        this->ready = true;
        this->backends = std::move(next);
        this->publish(now);
    }
}

bool FleetState::recordDeparture(const BackendDeparture &departure)
{
    const bool isNew = this->departures.record(departure, this->now);
    // Applied by the next tick, since applying copies the whole list and a failed rack causes many reports at once.
    this->departuresChanged = this->departuresChanged || isNew;
    return isNew;
}

void FleetState::updateConfig(std::shared_ptr<const FleetConfig> config, TimePoint now)
{
    if (config->revision > this->config->revision) {
        this->config = std::move(config);
        this->membership.setConfigRevision(this->config->revision);
        this->publish(now);
    }
}

void FleetState::drain(TimePoint now)
{
    this->membership.drain();
    this->publish(now);
}

void FleetState::leave(TimePoint now)
{
    this->membership.leave();
    this->publish(now);
}

void FleetState::reportCrash(const CrashReport &report, std::int64_t unixTime)
{
    if (this->crashes.add(report)) {
        this->membership.disseminate(report);
        this->publishCrashes(unixTime);
    }
}

void FleetState::liftCrash(std::uint64_t fingerprint, std::int64_t unixTime)
{
    this->crashes.lift(fingerprint, unixTime);
    this->membership.disseminate(CrashLift{fingerprint, unixTime});
    this->publishCrashes(unixTime);
}

void FleetState::publish(TimePoint now)
{
    const MemberTable &members = this->membership.members();
    if (members.stateVersion() != this->publishedState) {
        this->updateWatchRank();
    }
    auto view = std::make_shared<FleetView>();
    view->self = toMember(members.self());
    view->members = members.members();
    view->backends = this->backends;
    view->config = this->config;
    view->isolated = this->isolated;
    view->ready = this->ready;
    this->hooks.publish(std::move(view));
    this->publishedState = members.stateVersion();
    this->publishedLoad = members.loadVersion();
    this->lastPublished = now;
    this->dirty = false;
}

void FleetState::publishCrashes(std::int64_t unixTime)
{
    std::vector<CrashReport> inForce = this->crashes.inForce(unixTime);
    this->membership.setActiveCrashes(inForce);
    this->hooks.publishCrashes(std::move(inForce));
}

void FleetState::updateWatchRank()
{
    std::vector<std::string> candidates;
    for (const Member &member : this->membership.members().members()) {
        if (member.zone == this->settings.zone && isAvailable(member)) {
            candidates.push_back(member.name);
        }
    }
    const auto order = rendezvousOrder("config-watch/" + this->settings.zone, std::move(candidates));
    const auto position = std::find(order.begin(), order.end(), this->settings.name);
    const auto rank = static_cast<std::size_t>(position - order.begin());
    const bool watches = position != order.end() && rank < ConfigWatcher::WatchersPerZone;
    this->hooks.setWatchRank(watches ? std::optional(rank) : std::nullopt);
}

bool FleetState::isIsolated(TimePoint now) const
{
    const TimePoint lastContact = std::max({this->started, this->membership.lastReceiveTime().value_or(this->started),
                                            this->lastHostList.value_or(this->started)});
    return now - lastContact >= this->settings.isolatedAfter;
}

}
