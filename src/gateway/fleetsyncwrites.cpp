// The part of FleetSync that writes to the store: the registration of this router, leadership, the stage plan and the
// containments of crash suspects.

#include "containmentcodec.h"
#include "fleetsync.h"
#include "memberrecord.h"
#include "peerreport.h"
#include "routerstate.h"
#include "stageplancodec.h"
#include "versioncodec.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Interval at which the wait for the next registration sees the stop of the router.
constexpr Millis StopPollPeriod{50};

}

boost::asio::awaitable<void> FleetSync::keepRegistered()
{
    int failures = 0;
    while (!this->state.stopping) {
        if (!this->registered) {
            const TimePoint now = this->state.environment.now();
            if (now < this->registerAfter) {
                co_await this->state.environment.sleep(
                    std::min(StopPollPeriod, std::chrono::ceil<Millis>(this->registerAfter - now)));
                continue;
            }
            const bool done = co_await this->registerOnce();
            failures = done ? 0 : failures + 1;
            if (this->state.stopping) {
                co_await this->unregister(); // The stop has begun meanwhile and found no registration to remove.
            } else if (!done) {
                co_await this->state.environment.sleep(this->backoff(failures));
            }
            continue;
        }
        // Sleeps in short steps, so that a registration that was removed by others is written again soon.
        // After a failed call of another kind, the next renewal shows at once whether the store is away.
        const TimePoint next = this->state.environment.now() + RenewPeriod;
        while (this->registered && !this->state.stopping && !this->isStoreLost() && !this->renewSoon
               && this->state.environment.now() < next) {
            co_await this->state.environment.sleep(Millis(100));
        }
        if (!this->registered || this->state.stopping) {
            continue;
        }
        const Clock::duration renewalStart = this->state.environment.bootTime();
        this->renewSoon = false;
        const std::uint64_t lease = this->state.registrationLease;
        const StoreResult<std::uint64_t> renewed = co_await this->store.renewLease(lease);
        if (const auto *failure = std::get_if<StoreFailure>(&renewed)) {
            this->recordFailure("renew", *failure);
            if (failure->kind == StoreFailure::Kind::LeaseExpired) {
                this->registered = false;
            } else {
                co_await this->state.environment.sleep(this->backoff(++failures));
            }
        } else {
            failures = 0;
            this->noteGeneration(std::get<std::uint64_t>(renewed));
            if (this->state.registrationLease == lease) {
                this->leaseConfirmedAt = renewalStart;
            }
            this->recordSuccess();
        }
    }
}

boost::asio::awaitable<bool> FleetSync::registerOnce()
{
    const Millis lifetime = std::max(LeaseLifetime, this->state.settings.minLeaseLifetime);
    const Clock::duration start = this->state.environment.bootTime();
    const StoreResult<StoreLease> granted = co_await this->store.grantLease(lifetime);
    if (const auto *failure = std::get_if<StoreFailure>(&granted)) {
        this->recordFailure("lease", *failure);
        co_return false;
    }
    const StoreLease lease = std::get<StoreLease>(granted);
    this->noteGeneration(lease.generation);
    this->state.registrationLease = lease.id;
    this->leaseConfirmedAt = start;
    const RouterSettings &settings = this->state.settings;
    RouterMember member;
    member.name = settings.name;
    member.incarnation = this->state.incarnation;
    member.zone = settings.zone;
    member.callerAddress = settings.callerAddress;
    member.peerAddress = settings.peerAddress;
    member.reportFormat = PeerReport::Format;
    member.lowestGeneration = this->state.lowestGeneration;
    const StoreResult<StoreRevision> written =
        co_await this->store.write(memberPrefix() + settings.name, encodeMember(member), lease.id);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        this->recordFailure("register", *failure);
        co_return false;
    }
    this->recordSuccess();
    this->noteGeneration(std::get<StoreRevision>(written).generation());
    if (!this->isOfCurrentGeneration(lease.generation)) {
        co_return false; // The store has returned meanwhile.
    }
    this->registered = true;
    this->registrationRevision = std::get<StoreRevision>(written);
    this->state.members.put(settings.name, member, this->registrationRevision);
    this->state.regroup();
    LogLine("registered")
        .add("lease", this->state.registrationLease)
        .add("revision", this->registrationRevision.number())
        .add("generation", lease.generation)
        .write();
    co_return true;
}

boost::asio::awaitable<void> FleetSync::claimLeadership()
{
    if (!this->isLeaseConfirmed()) {
        co_return;
    }
    const std::uint64_t lease = this->state.registrationLease;
    const StoreRevision former = this->state.hasFormerRecord() ? this->state.leadership.revision : StoreRevision();
    const Leadership record{this->state.settings.name, this->state.incarnation, lease, StoreRevision()};
    co_await this->writeRecord("claim-leadership", leaderKey(), encodeLeadership(record), lease, leaderKey(), former,
                               false);
}

boost::asio::awaitable<void> FleetSync::writeStagePlan(StagePlan plan)
{
    co_await this->writeRecord("write-stage-plan", stagePlanKey(), encodeStagePlan(plan), 0, leaderKey(),
                               this->state.leadership.revision, true);
}

boost::asio::awaitable<void> FleetSync::writeContainments()
{
    std::string value = encodeContainments(this->state.crashes.containments(), this->state.environment.now(),
                                           this->state.environment.unixSeconds());
    // After a conflict, the next difference is that to the newer record.
    co_await this->writeRecord("write-containments", containmentsKey(), std::move(value), 0, containmentsKey(),
                               this->state.containmentsRevision, true);
}

boost::asio::awaitable<void> FleetSync::writeServiceVersions(ServiceVersions versions)
{
    co_await this->writeRecord("write-service-versions", serviceVersionsKey(), encodeServiceVersions(versions), 0,
                               serviceVersionsKey(), this->state.serviceVersionsRevision, false);
}

boost::asio::awaitable<bool> FleetSync::writeRecord(std::string call, std::string key, std::string value,
                                                    std::uint64_t lease, std::string conditionKey,
                                                    StoreRevision conditionRevision, bool countsConflicts)
{
    if (conditionRevision != StoreRevision() && !this->isOfCurrentGeneration(conditionRevision.generation())) {
        co_return false; // The number may have been given out again, for another write.
    }
    const std::uint64_t generation = this->state.storeGeneration;
    const StoreResult<StoreRevision> written = co_await this->store.writeIf(std::move(key), std::move(value), lease,
                                                                            std::move(conditionKey), conditionRevision);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        if (countsConflicts || failure->kind != StoreFailure::Kind::Conflict) {
            this->recordFailure(call, *failure);
        }
        this->noteGeneration(failure->generation);
        co_return false;
    }
    this->noteGeneration(std::get<StoreRevision>(written).generation());
    this->recordSuccess();
    co_return this->state.storeGeneration == generation; // Otherwise the condition or the lease was another one's.
}

boost::asio::awaitable<bool> FleetSync::writeStreamOrigins(StreamOriginsByVersion origins)
{
    Millis longest(0);
    for (const auto &[version, streams] : origins) {
        for (const StreamOrigin &stream : streams) {
            longest = std::max(longest, stream.left);
        }
    }
    const TimePoint now = this->state.environment.now();
    if (this->originsLease == 0 || this->originsLeaseEnd < now + longest) {
        // Lasts for the records of some time, so that most of them need no lease of their own.
        const Millis lifetime = std::max(longest * 2, this->state.settings.minLeaseLifetime);
        const StoreResult<StoreLease> granted = co_await this->store.grantLease(lifetime);
        if (const auto *failure = std::get_if<StoreFailure>(&granted)) {
            this->recordFailure("lease", *failure);
            co_return false;
        }
        this->noteGeneration(std::get<StoreLease>(granted).generation);
        this->originsLease = std::get<StoreLease>(granted).id;
        this->originsLeaseEnd = now + lifetime;
    }
    std::string key = streamOriginsPrefix() + this->state.settings.name + "/" + toHex(this->state.incarnation) + "-"
        + std::to_string(++this->originsWritten);
    const std::uint64_t generation = this->state.storeGeneration;
    const StoreResult<StoreRevision> written =
        co_await this->store.write(std::move(key), encodeStreamOrigins(origins), this->originsLease);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        this->originsLease = 0;
        this->recordFailure("write-stream-origins", *failure);
        co_return false;
    }
    this->noteGeneration(std::get<StoreRevision>(written).generation());
    this->recordSuccess();
    co_return this->state.storeGeneration == generation; // Otherwise the lease was another one's.
}

bool FleetSync::isLeaseConfirmed() const
{
    return this->registered && this->state.environment.bootTime() - this->leaseConfirmedAt <= LeaseTrust;
}

boost::asio::awaitable<void> FleetSync::unregister()
{
    if (this->state.registrationLease == 0) {
        co_return;
    }
    const StoreResult<std::uint64_t> ended = co_await this->store.endLease(this->state.registrationLease);
    if (const auto *failure = std::get_if<StoreFailure>(&ended)) {
        this->recordFailure("end-lease", *failure);
    }
}

}
