#include "groupmodel_test.h"

#include "cyclamencross/route/capacitywait.h"
#include "cyclamencross/route/retryafter.h"
#include "cyclamencross/route/roomestimator.h"
#include "cyclamencross/route/urgencyqueue.h"
#include "cyclamencross/route/workspaceshares.h"

#include <algorithm>
#include <memory>
#include <random>

namespace Cyclamen
{

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr int TickMillis = 5;
constexpr int ReportMillis = 150;
constexpr int BurstStart = 10000;
constexpr int BurstEnd = 15000;
constexpr int End = 30000;
constexpr int StreamMillis = 3500;
constexpr std::int64_t EngineTokens = 44590;
constexpr std::int64_t LargestPrompt = 11000;
constexpr std::int64_t OutputTokens = 420;
constexpr Millis Timeout{14000};

// A request in the router, or one whose caller returns at `nextTry`.
struct Request
{
    std::size_t kind = 0;
    std::size_t router = 0;
    TimePoint received;
    TimePoint entered; ///< When it began to look for room, first or after its return.
    double sizeDraw = 0;
    CapacityWait wait{Start, Millis(0), Millis(0)};
    Urgency urgency{0, Start, 0};
    UrgencyQueue::Ticket ticket = 0;
    TimePoint nextTry;
    bool waiting = false; ///< Told to the group.
    bool returned = false;
    bool inBurst = false;
    bool large = false;
};

struct Stream
{
    TimePoint end;
    std::size_t engine;
    std::int64_t tokens;
    std::size_t router;
    std::string workspace;
};

struct Router
{
    UrgencyQueue queue;
    RoomEstimator estimator;
    std::map<int, std::int64_t> reportedWaiting; ///< By class.
    std::map<std::string, std::int64_t> reportedTokens; ///< By workspace.
};

class Run
{
public:
    explicit Run(const GroupModel &model)
        : model(model)
        , generator(model.seed)
        , results(model.kinds.size())
        , due(model.kinds.size())
        , routers(std::size_t(model.routers))
        , used(std::size_t(model.engines))
    {
        for (const GroupModel::Kind &kind : model.kinds) {
            this->mostUrgent = std::min(this->mostUrgent, kind.priority);
        }
    }

    std::vector<GroupModel::Result> play()
    {
        for (int milli = 0; milli < End; milli += TickMillis) {
            this->now = Start + Millis(milli);
            this->burst = milli >= BurstStart && (milli < BurstEnd || this->model.lasting);
            this->endStreams();
            this->arrive();
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                if ((milli / TickMillis + int(i)) % (ReportMillis / TickMillis) == 0) {
                    this->report(i);
                }
            }
            std::shuffle(this->requests.begin(), this->requests.end(), this->generator);
            std::erase_if(this->requests, [this](Request &one) { return one.nextTry <= this->now && this->step(one); });
        }
        return this->results;
    }

private:
    double random()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->generator);
    }

    void endStreams()
    {
        std::erase_if(this->streams, [this](const Stream &stream) {
            const bool ended = stream.end <= this->now;
            this->used[stream.engine] -= ended ? stream.tokens : 0;
            return ended;
        });
    }

    void arrive()
    {
        std::lognormal_distribution<double> prompt(8.35, 0.6); // Mean of about 5,000.
        for (std::size_t i = 0; i < this->model.kinds.size(); ++i) {
            const GroupModel::Kind &kind = this->model.kinds[i];
            const double factor = this->burst ? kind.burst : 1;
            for (this->due[i] += kind.perSecond * factor * TickMillis / 1000; this->due[i] >= this->random();
                 this->due[i] -= 1) {
                Request one;
                one.kind = i;
                const std::int64_t tokens = std::min(LargestPrompt, std::int64_t(prompt(this->generator)));
                one.large = tokens > LargestPrompt * 4 / 5;
                one.inBurst = this->burst;
                one.urgency = Urgency(kind.priority, this->now, tokens + OutputTokens);
                one.received = this->now;
                this->results[i].arrived += one.inBurst ? 1 : 0;
                this->results[i].large += one.inBurst && one.large ? 1 : 0;
                this->enter(one, Timeout);
                this->requests.push_back(one);
            }
        }
    }

    // Has a request, new or returned, begin to look for room.
    void enter(Request &one, Millis timeLeft)
    {
        const GroupModel::Kind &kind = this->model.kinds[one.kind];
        one.router = std::size_t(this->random() * double(this->routers.size()));
        const Millis onTimeFor = one.returned ? Millis(0) : kind.target * 6 / 10;
        one.wait = CapacityWait(this->now, onTimeFor, std::min(kind.target * 3, std::min(Timeout / 4, timeLeft)));
        one.nextTry = this->now;
        one.waiting = false;
        Router &router = this->routers[one.router];
        router.estimator.recordSize("s", one.urgency.expectedTokens());
        one.urgency = Urgency(kind.priority, this->now + onTimeFor, one.urgency.expectedTokens())
                          .withTurn(this->mostUrgent, router.estimator.meanTokens("s"), this->random());
        one.sizeDraw = this->random();
        one.entered = this->now;
        one.ticket = router.queue.add("s", "r", one.urgency);
        router.estimator.recordArrival("s", one.urgency.waitClass(), this->now);
    }

    void report(std::size_t index)
    {
        Router &router = this->routers[index];
        router.reportedWaiting.clear();
        router.reportedTokens.clear();
        for (const Request &one : this->requests) {
            if (one.router == index && one.waiting && one.wait.isOnTime(this->now)) {
                ++router.reportedWaiting[one.urgency.waitClass()];
            }
        }
        for (const Stream &stream : this->streams) {
            if (stream.router == index) {
                router.reportedTokens[stream.workspace] += stream.tokens;
            }
        }
    }

    CapacityWait::Action nextAction(Request &one)
    {
        CapacityWait::Others others;
        std::int64_t moreUrgent = 0;
        std::map<std::string, std::int64_t> tokens;
        for (const Router &router : this->routers) {
            for (const auto &[waitClass, count] : router.reportedWaiting) {
                others.onTimeInGroup = true;
                moreUrgent += waitClass < one.urgency.waitClass() ? count : 0;
            }
            for (const auto &[workspace, count] : router.reportedTokens) {
                tokens[workspace] += count;
            }
        }
        if (!this->model.ordered) {
            return one.wait.nextAction(this->now, others.onTimeInGroup);
        }
        Router &router = this->routers[one.router];
        const std::string &workspace = this->model.kinds[one.kind].workspace;
        if (this->now - one.entered >= Urgency::LargeFirstAfter) {
            one.urgency = one.urgency.withSize(router.estimator.meanTokens("s"), one.sizeDraw);
        }
        one.urgency = one.urgency.withOverShare(WorkspaceShares::isOverShare(tokens, workspace));
        router.queue.update(one.ticket, one.urgency);
        others.aheadHere = router.queue.ahead(one.ticket, this->now).has_value();
        others.moreUrgentInGroup = moreUrgent > 0;
        others.expectedWait =
            router.estimator.expectedWait("s", one.urgency.waitClass(), moreUrgent, this->routers.size(), this->now);
        return one.wait.nextAction(this->now, others);
    }

    // Returns whether the request is done.
    bool step(Request &one)
    {
        if (one.ticket == 0) {
            this->enter(one, std::chrono::duration_cast<Millis>(one.received + Timeout - this->now));
        }
        const CapacityWait::Action action = this->nextAction(one);
        Router &router = this->routers[one.router];
        const bool tries = action == CapacityWait::Action::Try || action == CapacityWait::Action::TryLast;
        if (tries && this->place(one)) {
            router.queue.remove(one.ticket);
            router.estimator.recordPlacement("s", this->now);
            if (const auto next = this->model.ordered ? router.queue.first("s", this->now) : std::nullopt) {
                const auto isNext = [&](const Request &other) {
                    return other.ticket == *next && other.router == one.router;
                };
                std::find_if(this->requests.begin(), this->requests.end(), isNext)->nextTry = this->now;
            }
            return true;
        }
        if (action == CapacityWait::Action::TryLast || action == CapacityWait::Action::GiveUp) {
            return this->refuse(one);
        }
        if (tries) {
            router.queue.recordNoRoom(one.ticket, this->now);
        }
        one.waiting = true;
        one.nextTry = this->now + one.wait.retryDelay(this->now, this->random());
        return false;
    }

    bool place(const Request &one)
    {
        const std::size_t lost = this->burst ? std::size_t(this->model.lostEngines) : 0;
        const auto usable = this->used.end() - std::ptrdiff_t(lost);
        const auto least = std::min_element(this->used.begin(), usable);
        if (*least + one.urgency.expectedTokens() > EngineTokens) {
            return false;
        }
        *least += one.urgency.expectedTokens();
        this->streams.push_back(Stream{this->now + Millis(StreamMillis), std::size_t(least - this->used.begin()),
                                       one.urgency.expectedTokens(), one.router,
                                       this->model.kinds[one.kind].workspace});
        GroupModel::Result &result = this->results[one.kind];
        if (one.inBurst) {
            const bool onTime = !one.returned && one.wait.isOnTime(this->now);
            ++(onTime ? result.onTime : result.late);
            result.largeServed += one.large ? 1 : 0;
        }
        return true;
    }

    bool refuse(Request &one)
    {
        this->routers[one.router].queue.remove(one.ticket);
        const Millis left = std::chrono::duration_cast<Millis>(one.received + Timeout - this->now);
        if (one.inBurst) {
            ++this->results[one.kind].refusals;
            this->results[one.kind].waitedMillis += (Timeout - left).count();
        }
        const bool gone = one.returned;
        one.returned = true;
        one.ticket = 0;
        one.waiting = false;
        one.nextTry = this->now + RetryAfter::afterOverload(left, this->random());
        return gone;
    }

    const GroupModel &model;
    std::mt19937 generator;
    std::vector<GroupModel::Result> results;
    std::vector<double> due; ///< Arrivals that are due, by kind.
    std::vector<Router> routers;
    std::vector<std::int64_t> used; ///< Tokens by engine.
    std::vector<Request> requests;
    std::vector<Stream> streams;
    TimePoint now;
    bool burst = false;
    int mostUrgent = 9; ///< Priority.
};

}

GroupModel::Result &GroupModel::Result::operator+=(const Result &other)
{
    this->arrived += other.arrived;
    this->onTime += other.onTime;
    this->late += other.late;
    this->large += other.large;
    this->largeServed += other.largeServed;
    this->waitedMillis += other.waitedMillis;
    this->refusals += other.refusals;
    return *this;
}

std::vector<GroupModel::Result> GroupModel::run() const
{
    return Run(*this).play();
}

GroupModel::Result sumOf(const std::vector<GroupModel::Result> &results)
{
    GroupModel::Result sum;
    for (const GroupModel::Result &result : results) {
        sum += result;
    }
    return sum;
}

}
