#include "cyclamencross/route/crashattribution.h"

#include <algorithm>
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
    if (isKnown || call.suspects.empty() || !isPlausible(call.age) || !isPlausible(call.duration)) {
        return false;
    }
    Call record{call.id, call.backend, {}, now - call.age - call.duration, now - call.age};
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

std::vector<std::string> CrashAttribution::recordServed(const std::vector<std::string> &suspects, TimePoint now)
{
    std::vector<std::string> contested;
    for (const std::string &suspect : suspects) {
        if (this->countCrashes(suspect, {}) > 0 || this->contained.contains(suspect)) {
            contested.push_back(suspect);
        }
        this->setServed(suspect, now);
    }
    if (!contested.empty()) {
        this->releaseIf([&contested](const std::string &suspect, const Containment & /*containment*/) {
            return std::find(contested.begin(), contested.end(), suspect) != contested.end();
        });
        this->attribute();
    }
    return contested;
}

void CrashAttribution::addServed(const std::string &suspect, Millis age, TimePoint now)
{
    if (age < Millis(0) || age >= CrashLifetime) {
        return;
    }
    const TimePoint at = now - age;
    this->setServed(suspect, at);
    this->releaseIf([&suspect, at](const std::string &name, const Containment &containment) {
        return name == suspect && at > containment.crashedAt;
    });
    this->attribute();
}

bool CrashAttribution::wasServed(const std::string &suspect) const
{
    return this->served.contains(suspect) || this->servedElsewhere.contains(suspect);
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
        const auto lastServed = this->served.find(suspect);
        const bool servedSince = lastServed != this->served.end() && lastServed->second > containment.crashedAt;
        if (servedSince || this->hasEnoughCrashes(suspect)) {
            continue; // This router knows better.
        }
        this->contain(suspect, containment, CrashesToContain);
        if (const auto known = this->contained.find(suspect); known != this->contained.end()) {
            known->second.period = std::max(known->second.period, containment.period);
            known->second.crashedAt = std::max(known->second.crashedAt, containment.crashedAt);
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
        const Millis period = this->wasServed(suspect) ? InitialPeriodServed : InitialPeriod;
        this->contain(suspect, Containment{lastCrash, period, TimePoint()}, crashes);
    }
}

std::optional<std::pair<std::string, int>> CrashAttribution::findCause(const ExplainedCalls &explained) const
{
    // In the order of importance: crashes that followed one another, relative to the number that contains the suspect;
    // servers that crashed; specificity.
    std::tuple<double, std::size_t, int> best(1, 0, 0);
    std::optional<std::pair<std::string, int>> cause;
    for (const auto &[suspect, evidence] : this->evidence) {
        const int crashes = this->countCrashes(suspect, explained);
        std::set<std::string> servers;
        for (const std::size_t i : evidence.calls) {
            if (!explained[i]) {
                servers.insert(this->calls[i].backend);
            }
        }
        const std::tuple rating(double(crashes) / this->crashesToContain(suspect), servers.size(),
                                evidence.specificity);
        if (rating > best) {
            best = rating;
            cause = {suspect, crashes};
        }
    }
    return cause;
}

int CrashAttribution::countCrashes(const std::string &suspect, const ExplainedCalls &explained) const
{
    const auto found = this->evidence.find(suspect);
    if (found == this->evidence.end()) {
        return 0;
    }
    const auto lastServed = this->served.find(suspect);
    std::vector<const Call *> crashed;
    for (const std::size_t i : found->second.calls) {
        const Call &call = this->calls[i];
        const bool servedSince = lastServed != this->served.end() && call.crashedAt <= lastServed->second;
        if (!servedSince && (explained.empty() || !explained[i])) {
            crashed.push_back(&call);
        }
    }
    std::sort(crashed.begin(), crashed.end(), [](const Call *a, const Call *b) { return a->crashedAt < b->crashedAt; });
    int count = 0;
    const Call *last = nullptr;
    for (const Call *call : crashed) {
        // A call that was sent before the previous crash may have been lost together with that one.
        const bool follows =
            last == nullptr || (call->sentAt + ReportTolerance >= last->crashedAt && !isSameCrash(*call, *last));
        if (follows) {
            ++count;
            last = call;
        }
    }
    return count;
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

int CrashAttribution::crashesToContain(const std::string &suspect) const
{
    return this->wasServed(suspect) ? CrashesToContainServed : CrashesToContain;
}

bool CrashAttribution::hasEnoughCrashes(const std::string &suspect) const
{
    return this->countCrashes(suspect, {}) >= this->crashesToContain(suspect);
}

void CrashAttribution::setServed(const std::string &suspect, TimePoint at)
{
    const auto [known, isNew] = this->served.try_emplace(suspect, at);
    known->second = std::max(known->second, at);
    if (!isNew) {
        return;
    }
    this->servedOrder.emplace_back(at, suspect);
    while (this->served.size() > MaxServed) {
        const auto [queuedAt, oldest] = std::move(this->servedOrder.front());
        this->servedOrder.pop_front();
        const auto entry = this->served.find(oldest);
        if (entry->second > queuedAt) {
            this->servedOrder.emplace_back(entry->second, oldest); // Served again since it was queued.
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
