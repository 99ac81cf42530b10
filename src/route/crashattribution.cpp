#include "cyclamencross/route/crashattribution.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Cyclamen
{

namespace
{

// Calls at one backend server that crashed within this time belong to the same crash: less than it needs to start
// again.
constexpr Millis SameCrashTime{1000};
// Error of the times in reports of different routers. A request is repeated within milliseconds after a crash, so its
// repeat must not seem to have been sent before it.
constexpr Millis ReportTolerance{20};

}

CrashAttribution::CrashAttribution(TrialHook isTrialRouter, ChangeHook onChange)
    : isTrialRouter(std::move(isTrialRouter))
    , onChange(std::move(onChange))
{
}

bool CrashAttribution::addCrash(const CrashedCall &call, TimePoint now)
{
    const bool isKnown =
        std::any_of(this->calls.begin(), this->calls.end(), [&call](const Call &other) { return other.id == call.id; });
    const auto isPlausible = [](Millis time) { return time >= Millis(0) && time < CrashLifetime; };
    if (isKnown || call.suspects.empty() || !isPlausible(call.age) || !isPlausible(call.duration)
        || !isPlausible(call.outputTime)) {
        return false;
    }
    Call record{call.id,
                call.backend,
                {},
                now - call.age - call.duration,
                now - call.age,
                call.outputTime,
                levelToClear(call.outputTime)};
    for (const CrashSuspect &suspect : call.suspects) {
        record.suspects.push_back(suspect.name);
        if (suspect.servedBefore) {
            this->servedElsewhere.insert(suspect.name);
        }
        if (const auto known = this->contained.find(suspect.name); known != this->contained.end()) {
            Containment &containment = known->second;
            const bool wasTrial = record.sentAt >= containment.crashedAt + containment.period;
            containment.period = wasTrial ? std::min(MaxPeriod, containment.period * 2) : containment.period;
            containment.crashedAt = std::max(containment.crashedAt, record.crashedAt);
            containment.outputTime =
                wasTrial ? std::max(containment.outputTime, call.outputTime) : containment.outputTime;
        }
    }
    this->calls.push_back(std::move(record));
    if (this->calls.size() > MaxCalls) {
        this->calls.pop_front();
    }
    this->collectEvidence();
    this->attribute();
    return true;
}

std::vector<std::string> CrashAttribution::recordServed(const std::vector<std::string> &suspects, Millis outputTime,
                                                        TimePoint now)
{
    const int level = levelOf(outputTime);
    if (level < 0) {
        return {};
    }
    std::vector<std::string> contested;
    for (const std::string &suspect : suspects) {
        if (this->isAccused(suspect, level) || this->contained.contains(suspect)) {
            contested.push_back(suspect);
        }
        this->setServed(suspect, level, now);
    }
    if (!contested.empty()) {
        this->releaseIf([&contested, level](const std::string &suspect, const Containment &containment) {
            return level >= levelToClear(containment.outputTime)
                && std::find(contested.begin(), contested.end(), suspect) != contested.end();
        });
        this->attribute();
    }
    return contested;
}

void CrashAttribution::addServed(const std::string &suspect, Millis outputTime, Millis age, TimePoint now)
{
    const int level = levelOf(outputTime);
    if (level < 0 || age < Millis(0) || age >= CrashLifetime) {
        return;
    }
    const TimePoint at = now - age;
    this->setServed(suspect, level, at);
    this->releaseIf([&suspect, level, at](const std::string &name, const Containment &containment) {
        return level >= levelToClear(containment.outputTime) && name == suspect && at > containment.crashedAt;
    });
    this->attribute();
}

bool CrashAttribution::wasServed(const std::string &suspect, Millis outputTime) const
{
    const auto found = this->evidence.find(suspect);
    const int level = std::max(levelToClear(outputTime), found == this->evidence.end() ? 0 : found->second.level);
    return this->servedAt(suspect, level) > TimePoint::min() || this->servedElsewhere.contains(suspect);
}

CrashAttribution::Verdict CrashAttribution::check(const std::vector<std::string> &suspects, TimePoint now)
{
    std::vector<Containment *> tried;
    for (const std::string &suspect : suspects) {
        const auto known = this->contained.find(suspect);
        if (known == this->contained.end()) {
            continue;
        }
        Containment &containment = known->second;
        const bool mayTry = now >= containment.crashedAt + containment.period && now >= containment.trialUntil;
        if (!mayTry || !this->isTrialRouter(suspect)) {
            return Verdict::Contained;
        }
        tried.push_back(&containment);
    }
    for (Containment *containment : tried) {
        containment->trialUntil = now + TrialTime;
    }
    return tried.empty() ? Verdict::Allowed : Verdict::Trial;
}

const std::string *CrashAttribution::findContained(const std::vector<std::string> &suspects) const
{
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [this](const std::string &suspect) { return this->contained.contains(suspect); });
    return found == suspects.end() ? nullptr : &*found;
}

Millis CrashAttribution::timeUntilTrial(const std::string &suspect, TimePoint now) const
{
    const auto known = this->contained.find(suspect);
    if (known == this->contained.end()) {
        return Millis(0);
    }
    const auto left = known->second.crashedAt + known->second.period - now;
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(left));
}

const std::map<std::string, Containment> &CrashAttribution::containments() const
{
    return this->contained;
}

void CrashAttribution::restore(const std::map<std::string, Containment> &storedNow)
{
    const std::set<std::string> storedBefore = std::exchange(this->stored, {});
    this->releaseIf([&](const std::string &suspect, const Containment & /*containment*/) {
        return storedBefore.contains(suspect) && !storedNow.contains(suspect) && !this->hasEnoughCrashes(suspect);
    });
    for (const auto &[suspect, containment] : storedNow) {
        this->stored.insert(suspect);
        const bool servedSince = this->servedAt(suspect, levelToClear(containment.outputTime)) > containment.crashedAt;
        if (servedSince || this->hasEnoughCrashes(suspect)) {
            continue; // This router knows better.
        }
        this->contain(suspect, containment, CrashesToContain);
        if (const auto known = this->contained.find(suspect); known != this->contained.end()) {
            known->second.period = std::max(known->second.period, containment.period);
            known->second.crashedAt = std::max(known->second.crashedAt, containment.crashedAt);
            known->second.outputTime = std::max(known->second.outputTime, containment.outputTime);
        }
    }
    this->attribute();
}

void CrashAttribution::expire(TimePoint now)
{
    const std::size_t before = this->calls.size();
    std::erase_if(this->calls, [now](const Call &call) { return now - call.crashedAt >= CrashLifetime; });
    if (this->calls.size() < before) {
        this->collectEvidence();
    }
    // After a long time without a request to be tried, the containment is forgotten.
    this->releaseIf([now](const std::string & /*suspect*/, const Containment &containment) {
        return now - containment.crashedAt >= containment.period + MaxPeriod;
    });
}

void CrashAttribution::collectEvidence()
{
    this->evidence.clear();
    for (std::size_t i = 0; i < this->calls.size(); ++i) {
        const std::vector<std::string> &suspects = this->calls[i].suspects;
        for (std::size_t position = 0; position < suspects.size(); ++position) {
            Evidence &found = this->evidence[suspects[position]];
            found.specificity = int(position);
            found.calls.push_back(i);
            found.level = std::max(found.level, this->calls[i].level);
        }
    }
    std::erase_if(this->servedElsewhere, [this](const auto &name) { return !this->evidence.contains(name); });
}

void CrashAttribution::attribute()
{
    ExplainedCalls explained(this->calls.size(), false);
    for (const auto &[suspect, containment] : this->contained) {
        if (!this->hasEnoughCrashes(suspect)) {
            this->markExplained(suspect, explained); // Contained for crashes before those that are recorded.
        }
    }
    std::map<std::string, int> causes; // Number of crashes by suspect.
    while (const auto cause = this->findCause(explained)) {
        causes.insert(*cause);
        this->markExplained(cause->first, explained);
    }
    // A suspect with enough crashes that is not a cause any more owes them to another suspect.
    this->releaseIf([&](const std::string &suspect, const Containment & /*containment*/) {
        return !causes.contains(suspect) && this->hasEnoughCrashes(suspect);
    });
    for (const auto &[suspect, crashes] : causes) {
        TimePoint lastCrash;
        for (const std::size_t i : this->evidence.at(suspect).calls) {
            lastCrash = std::max(lastCrash, this->calls[i].crashedAt);
        }
        Millis outputTime{0};
        for (const Call *call : this->findCrashes(suspect, {})) {
            outputTime = std::max(outputTime, call->outputTime);
        }
        const Millis period = this->wasServed(suspect, Millis(0)) ? InitialPeriodServed : InitialPeriod;
        this->contain(suspect, Containment{lastCrash, period, TimePoint(), outputTime}, crashes);
    }
}

std::optional<std::pair<std::string, int>> CrashAttribution::findCause(const ExplainedCalls &explained) const
{
    // In the order of importance: crashes that followed one another, relative to those that contain the suspect;
    // servers that crashed; specificity.
    std::tuple<double, std::size_t, int> best(1, 0, 0);
    std::optional<std::pair<std::string, int>> cause;
    for (const auto &[suspect, evidence] : this->evidence) {
        if (int(evidence.calls.size()) * CrashWeight < WeightToContain) {
            continue; // Most suspects are requests that crashed once.
        }
        const auto crashes = this->findCrashes(suspect, explained);
        std::set<std::string> servers;
        for (const std::size_t i : evidence.calls) {
            if (!explained[i]) {
                servers.insert(this->calls[i].backend);
            }
        }
        const std::tuple rating(double(weightOf(crashes)) / this->weightToContain(suspect), servers.size(),
                                evidence.specificity);
        if (rating > best) {
            best = rating;
            cause = {suspect, int(crashes.size())};
        }
    }
    return cause;
}

std::vector<const CrashAttribution::Call *> CrashAttribution::findCrashes(const std::string &suspect,
                                                                          const ExplainedCalls &explained) const
{
    const auto found = this->evidence.find(suspect);
    if (found == this->evidence.end()) {
        return {};
    }
    std::vector<const Call *> crashed;
    for (const std::size_t i : found->second.calls) {
        const Call &call = this->calls[i];
        const bool isCleared = this->servedAt(suspect, call.level) >= call.crashedAt;
        if (!isCleared && (explained.empty() || !explained[i])) {
            crashed.push_back(&call);
        }
    }
    std::sort(crashed.begin(), crashed.end(), [](const Call *a, const Call *b) { return a->crashedAt < b->crashedAt; });
    std::vector<const Call *> following;
    for (const Call *call : crashed) {
        // A call that was sent before the previous crash may have been lost together with that one.
        const bool follows = following.empty()
            || (call->sentAt + ReportTolerance >= following.back()->crashedAt
                && !isSameCrash(*call, *following.back()));
        if (follows) {
            following.push_back(call);
        }
    }
    return following;
}

bool CrashAttribution::isAccused(const std::string &suspect, int level) const
{
    const auto found = this->evidence.find(suspect);
    if (found == this->evidence.end()) {
        return false;
    }
    return std::any_of(found->second.calls.begin(), found->second.calls.end(), [&](std::size_t i) {
        const Call &call = this->calls[i];
        return call.level <= level && this->servedAt(suspect, call.level) < call.crashedAt;
    });
}

int CrashAttribution::weightOf(const std::vector<const Call *> &crashes)
{
    return std::accumulate(crashes.begin(), crashes.end(), 0, [](int sum, const Call *call) {
        return sum + (call->level > 0 ? OutputCrashWeight : CrashWeight);
    });
}

bool CrashAttribution::isSameCrash(const Call &call, const Call &other)
{
    const auto apart = call.crashedAt - other.crashedAt;
    return call.backend == other.backend && apart < SameCrashTime && -apart < SameCrashTime;
}

void CrashAttribution::markExplained(const std::string &suspect, ExplainedCalls &explained) const
{
    const auto found = this->evidence.find(suspect);
    if (found == this->evidence.end()) {
        return;
    }
    for (const std::size_t cause : found->second.calls) {
        for (std::size_t i = 0; i < this->calls.size(); ++i) {
            explained[i] = explained[i] || isSameCrash(this->calls[i], this->calls[cause]);
        }
    }
}

int CrashAttribution::weightToContain(const std::string &suspect) const
{
    return this->wasServed(suspect, Millis(0)) ? WeightToContainServed : WeightToContain;
}

int CrashAttribution::levelOf(Millis outputTime)
{
    if (outputTime == WholeAnswer) {
        return Levels - 1;
    }
    int level = -1;
    while (level + 1 < Levels - 1 && outputTime >= SoundOutputTime * (1 << (level + 1))) {
        ++level;
    }
    return level;
}

int CrashAttribution::levelToClear(Millis outputTime)
{
    int level = 0;
    if (outputTime >= SoundOutputTime) {
        while (level < Levels - 1 && SoundOutputTime * (1 << level) < outputTime * OutputFactor) {
            ++level;
        }
    }
    return level;
}

Millis CrashAttribution::nextOutputTime(Millis outputTime)
{
    return SoundOutputTime * (1 << std::min(levelOf(outputTime) + 1, Levels - 1));
}

TimePoint CrashAttribution::servedAt(const std::string &suspect, int level) const
{
    const auto found = this->served.find(suspect);
    return found == this->served.end() ? TimePoint::min() : found->second[std::size_t(level)];
}

bool CrashAttribution::hasEnoughCrashes(const std::string &suspect) const
{
    return weightOf(this->findCrashes(suspect, {})) >= this->weightToContain(suspect);
}

void CrashAttribution::setServed(const std::string &suspect, int level, TimePoint at)
{
    const auto [known, isNew] = this->served.try_emplace(suspect);
    if (isNew) {
        known->second.fill(TimePoint::min());
    }
    for (std::size_t i = 0; i <= std::size_t(level); ++i) {
        known->second[i] = std::max(known->second[i], at);
    }
    if (!isNew) {
        return;
    }
    this->servedOrder.emplace_back(at, suspect);
    while (this->served.size() > MaxServed) {
        const auto [queuedAt, oldest] = std::move(this->servedOrder.front());
        this->servedOrder.pop_front();
        const auto entry = this->served.find(oldest);
        if (entry->second.front() > queuedAt) {
            this->servedOrder.emplace_back(entry->second.front(), oldest); // Served again since it was queued.
        } else {
            this->served.erase(entry);
        }
    }
}

void CrashAttribution::releaseIf(
    const std::function<bool(const std::string &suspect, const Containment &containment)> &hasEnded)
{
    std::vector<std::string> ended;
    for (const auto &[suspect, containment] : this->contained) {
        if (hasEnded(suspect, containment)) {
            ended.push_back(suspect);
        }
    }
    for (const std::string &suspect : ended) {
        this->contained.erase(suspect);
        this->onChange(suspect, 0);
    }
}

void CrashAttribution::contain(const std::string &suspect, const Containment &containment, int crashes)
{
    const bool isNew = this->contained.try_emplace(suspect, containment).second;
    if (!isNew) {
        return;
    }
    this->onChange(suspect, crashes);
    if (this->contained.size() > MaxContainments) {
        const auto oldest =
            std::min_element(this->contained.begin(), this->contained.end(),
                             [](const auto &a, const auto &b) { return a.second.crashedAt < b.second.crashedAt; });
        const std::string name = oldest->first;
        this->releaseIf(
            [&name](const std::string &other, const Containment & /*containment*/) { return other == name; });
    }
}

}
