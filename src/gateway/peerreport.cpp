#include "peerreport.h"

#include "boundedinputarchive.h"
#include "packedchanges.h"
#include "revisionarchive.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace Cyclamen
{

template<typename Archive>
void serialize(Archive &archive, BackendWork &work)
{
    KvCacheForecast::Tokens tokens = work.kvCache.tokens();
    archive(work.requests, work.promptTokens, tokens);
    work.kvCache = KvCacheForecast(tokens);
}

template<typename Archive>
void serialize(Archive &archive, StreamSample &sample)
{
    archive(sample.route, sample.service, sample.expectedTokens, sample.events, sample.millisPerEvent);
}

template<typename Archive>
void archiveMillis(Archive &archive, Millis &duration)
{
    std::int64_t count = duration.count();
    archive(count);
    duration = Millis(count);
}

template<typename Archive>
void serialize(Archive &archive, StreamOrigin &origin)
{
    archive(origin.key);
    archiveMillis(archive, origin.left);
}

template<typename Archive>
void serialize(Archive &archive, CrashSuspect &suspect)
{
    archive(suspect.name, suspect.servedBefore);
}

template<typename Archive>
void serialize(Archive &archive, CrashedCall &call)
{
    archive(call.id, call.backend, call.suspects);
    archiveMillis(archive, call.age);
    archiveMillis(archive, call.duration);
    archiveMillis(archive, call.outputTime);
}

template<typename Archive>
void serialize(Archive &archive, ServedSuspect &suspect)
{
    archive(suspect.name);
    archiveMillis(archive, suspect.age);
    archiveMillis(archive, suspect.outputTime);
}

template<typename Archive>
void serialize(Archive &archive, NamedLimit &limit)
{
    archive(limit.requestsPerSecond);
    archiveMillis(archive, limit.age);
}

template<typename Archive>
void serialize(Archive &archive, ToldSlowdown &told)
{
    archive(told.factor);
    archiveMillis(archive, told.age);
}

template<typename Archive>
void serialize(Archive &archive, StageLoad &load)
{
    auto prefillEngines = std::uint64_t(load.prefillEngines);
    auto decodeEngines = std::uint64_t(load.decodeEngines);
    archive(prefillEngines, decodeEngines, load.prefillRequests, load.decodeUse);
    load.prefillEngines = std::size_t(prefillEngines);
    load.decodeEngines = std::size_t(decodeEngines);
}

template<typename Archive>
void serialize(Archive &archive, StatementNews &news)
{
    archive(news.address, news.startUnixMillis);
    archiveMillis(archive, news.leavingAge);
    archiveMillis(archive, news.pauseLeft);
}

template<typename Archive>
void serialize(Archive &archive, PeerReport::Outcomes &outcomes)
{
    archive(outcomes.served, outcomes.failed, outcomes.broken, outcomes.paceSamples, outcomes.paceSum);
}

// Archives the changes in packed form, as nothing if there are none.
template<typename Archive>
void archiveChanges(Archive &archive, StoreChanges &changes)
{
    std::string packed;
    if constexpr (Archive::is_saving::value) {
        packed = changes.upTo == StoreRevision() ? std::string() : packChanges(changes);
    }
    archive(packed);
    if constexpr (Archive::is_loading::value) {
        if (!packed.empty() && !unpackChanges(packed, changes)) {
            throw cereal::Exception("changes");
        }
    }
}

template<typename Archive>
void serialize(Archive &archive, QuotaUsage &usage)
{
    archive(usage.workspace, usage.used, usage.admittedPerSecond, usage.demandPerSecond);
}

template<typename Archive>
void serialize(Archive &archive, QuotaReport &report)
{
    archive(report.heard, report.usage);
}

template<typename Archive>
void serialize(Archive &archive, PeerReport &report)
{
    archive(report.watching);
    archiveChanges(archive, report.changes);
    archiveMillis(archive, report.changesKnownAge);
    archiveMillis(archive, report.sentAt);
    archive(report.isCrashNews, report.isGroupReport, report.groupWork, report.stageLoads, report.knowsOtherGroups,
            report.otherGroupsWork);
    archive(report.router, report.incarnation, report.sequence, report.storeRevision, report.work, report.waiting,
            report.reportedCalls, report.slowdowns, report.namedLimits, report.statements, report.outcomes,
            report.streams, report.crashes, report.servedSuspects);
    archive(report.quota, report.otherGroupsQuota, report.streamOrigins, report.cutOff);
}

namespace
{

// First byte of a datagram of format 1; one of format 0 begins with a 1. The generations and StoreChanges::copiedUpTo
// follow, then all that format 0 has.
constexpr char Format1Mark = '\x81';

// Appends a number in as many bytes as it needs, seven bits each, the lowest first.
void appendCompact(std::string &bytes, std::uint64_t number)
{
    while (number >= 0x80U) {
        bytes.push_back(char((number & 0x7FU) | 0x80U));
        number >>= 7U;
    }
    bytes.push_back(char(number));
}

// Reads such a number and removes it from @p bytes; std::nullopt if it is malformed.
std::optional<std::uint64_t> takeCompact(std::string_view &bytes)
{
    std::uint64_t number = 0;
    for (unsigned int shift = 0; shift < 63 && !bytes.empty(); shift += 7) {
        const auto byte = std::uint8_t(bytes.front());
        bytes.remove_prefix(1);
        number |= std::uint64_t(byte & 0x7FU) << shift;
        if ((byte & 0x80U) == 0) {
            return number;
        }
    }
    return std::nullopt;
}

// The offset of clocks at the end of a datagram: a number of eight bytes, the lowest first.
constexpr std::size_t OffsetBytes = 8;
constexpr std::int64_t UnknownOffset = std::numeric_limits<std::int64_t>::min();

// Largest duration and largest number of requests or tokens that is plausible. Sums of such numbers, and durations in
// nanoseconds, do not overflow.
constexpr Millis MaxDuration{std::chrono::hours(24 * 365)};
constexpr std::int64_t MaxAmount = 1'000'000'000'000;

bool isPlausible(std::int64_t amount)
{
    return amount >= -MaxAmount && amount <= MaxAmount;
}

bool isPlausible(Millis duration)
{
    return duration >= -MaxDuration && duration <= MaxDuration;
}

bool isPlausible(const BackendWork &work)
{
    const KvCacheForecast::Tokens &tokens = work.kvCache.tokens();
    return isPlausible(work.requests) && isPlausible(work.promptTokens)
        && std::all_of(tokens.begin(), tokens.end(), [](std::int64_t count) { return isPlausible(count); });
}

bool isPlausible(const NamedLimit &limit)
{
    return isPlausible(limit.age) && !std::isnan(limit.requestsPerSecond);
}

bool isPlausible(const ToldSlowdown &told)
{
    return isPlausible(told.age) && std::isfinite(told.factor) && told.factor > 0;
}

bool isPlausible(const StageLoad &load)
{
    return load.prefillEngines <= std::uint64_t(MaxAmount) && load.decodeEngines <= std::uint64_t(MaxAmount)
        && load.prefillRequests >= 0 && load.prefillRequests <= double(MaxAmount) && load.decodeUse >= 0
        && load.decodeUse <= double(MaxAmount);
}

bool isPlausible(const PeerReport::Outcomes &outcomes)
{
    return std::isfinite(outcomes.paceSum);
}

bool isPlausible(const StreamSample &sample)
{
    return isPlausible(sample.expectedTokens) && isPlausible(sample.events) && std::isfinite(sample.millisPerEvent);
}

bool isPlausible(const CrashedCall &call)
{
    return isPlausible(call.age) && isPlausible(call.duration) && isPlausible(call.outputTime);
}

bool isPlausible(const StreamOrigin &origin)
{
    return isPlausible(origin.left);
}

bool isPlausible(const ServedSuspect &suspect)
{
    return isPlausible(suspect.age);
}

template<typename Value>
bool areAllPlausible(const std::map<std::string, Value> &values)
{
    return std::all_of(values.begin(), values.end(), [](const auto &entry) { return isPlausible(entry.second); });
}

template<typename Value>
bool areAllPlausible(const std::vector<Value> &values)
{
    return std::all_of(values.begin(), values.end(), [](const Value &value) { return isPlausible(value); });
}

// Returns whether the receiver of a report can calculate with all of its numbers.
bool isPlausible(const PeerReport &report)
{
    return isPlausible(report.changesKnownAge) && isPlausible(report.sentAt)
        && isPlausible(report.clockOffset.value_or(Millis(0))) && areAllPlausible(report.work)
        && areAllPlausible(report.groupWork) && areAllPlausible(report.stageLoads)
        && areAllPlausible(report.otherGroupsWork) && areAllPlausible(report.waiting)
        && areAllPlausible(report.reportedCalls) && areAllPlausible(report.slowdowns)
        && areAllPlausible(report.namedLimits) && areAllPlausible(report.outcomes) && areAllPlausible(report.streams)
        && areAllPlausible(report.crashes) && areAllPlausible(report.servedSuspects)
        && std::all_of(report.streamOrigins.begin(), report.streamOrigins.end(),
                       [](const auto &entry) { return areAllPlausible(entry.second); })
        && report.quota.isPlausible() && report.otherGroupsQuota.isPlausible();
}

}

std::string encodePeerReportBody(const PeerReport &report, std::uint32_t format)
{
    const StoreChanges &changes = report.changes;
    const bool isOverReturn = changes.after.generation() != changes.upTo.generation();
    if (format == 0 && changes.upTo != StoreRevision() && isOverReturn) {
        // The receiver would apply them by their numbers alone. Without them it reads the store.
        PeerReport plain = report;
        plain.changes = StoreChanges();
        return encodePeerReportBody(plain, format);
    }
    std::string generations;
    if (format > 0) {
        generations.push_back(Format1Mark);
        appendCompact(generations, report.storeRevision.generation());
        appendCompact(generations, changes.after.generation());
        appendCompact(generations, changes.upTo.generation());
        appendCompact(generations, changes.copiedUpTo.number());
    }
    std::ostringstream output;
    output << generations;
    cereal::PortableBinaryOutputArchive archive(output);
    archive(report);
    return output.str();
}

std::string withClockOffset(const std::string &body, std::optional<Millis> offset)
{
    std::string result = body;
    const auto bits = std::uint64_t(offset ? offset->count() : UnknownOffset);
    for (std::size_t i = 0; i < OffsetBytes; ++i) {
        result.push_back(char((bits >> (8 * i)) & 0xFFU));
    }
    return result;
}

std::string encodePeerReport(const PeerReport &report, std::uint32_t format)
{
    return withClockOffset(encodePeerReportBody(report, format), report.clockOffset);
}

void PeerReport::setGenerations(std::uint64_t store, std::uint64_t changesAfter, std::uint64_t changesUpTo)
{
    this->storeRevision = StoreRevision(store, this->storeRevision.number());
    if (this->changes.upTo == StoreRevision()) {
        return;
    }
    this->changes.after = StoreRevision(changesAfter, this->changes.after.number());
    this->changes.upTo = StoreRevision(changesUpTo, this->changes.upTo.number());
    for (StoreItem &item : this->changes.items) {
        item.revision = StoreRevision(changesUpTo, item.revision.number());
    }
}

bool decodePeerReport(const std::string &bytes, PeerReport &report)
{
    if (bytes.size() < OffsetBytes) {
        return false;
    }
    std::string_view body(bytes.data(), bytes.size() - OffsetBytes);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < OffsetBytes; ++i) {
        bits |= std::uint64_t(std::uint8_t(bytes[bytes.size() - OffsetBytes + i])) << (8 * i);
    }
    const auto offset = std::int64_t(bits);
    const bool namesGenerations = !body.empty() && body.front() == Format1Mark;
    std::array<std::uint64_t, 4> numbers{};
    if (namesGenerations) {
        body.remove_prefix(1);
        for (std::uint64_t &number : numbers) {
            const auto taken = takeCompact(body);
            if (!taken) {
                return false;
            }
            number = *taken;
        }
    }
    try {
        BoundedInputArchive archive(body);
        archive(report);
        report.namesGenerations = namesGenerations;
        report.setGenerations(numbers[0], numbers[1], numbers[2]);
        // It is of the generation in which the changes begin.
        report.changes.copiedUpTo = StoreRevision(numbers[3] == 0 ? 0 : numbers[1], numbers[3]);
        report.clockOffset = offset == UnknownOffset ? std::nullopt : std::optional<Millis>(offset);
        return archive.isAtEnd() && isPlausible(report);
    } catch (const cereal::Exception &) {
        return false;
    }
}

}
