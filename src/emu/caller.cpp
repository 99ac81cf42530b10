#include "caller.h"

#include "eventreader.h"
#include "jsonbody.h"
#include "prompttag.h"

#include <thread>
#include <utility>

namespace Cyclamen
{

namespace
{

constexpr Millis ConnectTimeout{1000};

// A read that timed out and a broken connection look alike to cpp-httplib's callers, but for the error.
std::string outcomeOf(const httplib::Result &result, bool gaveUp)
{
    if (gaveUp) {
        return "late";
    }
    if (!result) {
        return "no-answer";
    }
    const std::string outcome = result->get_header_value("Run-Outcome");
    return outcome.empty() ? "status-" + std::to_string(result->status) : outcome;
}

}

Caller::Caller(const LoadOptions &options, RequestPlan plan, TimePoint start)
    : options(options)
    , plan(std::move(plan))
    , start(start)
    , random(this->plan.seed)
{
}

RequestRecord Caller::run()
{
    this->record.isService = this->plan.isService;
    this->record.arrival = std::chrono::duration<double>(this->plan.arrival).count();
    if (!this->plan.isService) {
        this->prompt = promptOf(this->plan);
    } else if (this->plan.keyed) {
        this->key = "load-" + std::to_string(this->options.seed) + "-" + std::to_string(this->plan.number);
        this->key = this->plan.ticket ? this->fetchTicket() : this->key;
    }
    do {
        if (this->record.attempts > 0) {
            const double mean = double(this->options.retryDelay.count());
            const double wait = std::uniform_real_distribution<>(0.5, 1.5)(this->random) * mean;
            std::this_thread::sleep_for(Millis(static_cast<std::int64_t>(wait)));
        }
        ++this->record.attempts;
        if (this->plan.isService) {
            this->attemptCall();
        } else {
            this->attemptCompletion();
        }
        this->record.refused += this->record.outcome == "not-run" ? 1 : 0;
        this->record.late += this->record.outcome == "late" ? 1 : 0;
    } while (this->wantsRetry());
    this->record.end = toSeconds(Clock::now() - this->start);
    if (this->plan.resend && !this->key.empty()) {
        this->sendAgain();
    }
    return this->record;
}

bool Caller::wantsRetry() const
{
    const std::string &outcome = this->record.outcome;
    return this->record.attempts <= this->options.retries && outcome != "done" && outcome != "cancelled"
        && outcome != "wrong";
}

const std::string &Caller::chooseEntry()
{
    return this->options.entries[this->random() % this->options.entries.size()];
}

httplib::Client Caller::connect(const std::string &address) const
{
    const std::size_t colon = address.rfind(':');
    httplib::Client client(address.substr(0, colon), std::atoi(address.substr(colon + 1).c_str()));
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(this->options.patience);
    client.set_tcp_nodelay(true);
    return client;
}

double Caller::sinceArrival(TimePoint time) const
{
    return toSeconds(time - this->start) - this->record.arrival;
}

void Caller::attemptCompletion()
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Workspace", this->plan.workspace}, {"Content-Type", "application/json"}};
    request.body = nlohmann::json{
        {"model", this->options.model},
        {"prompt", this->prompt},
        {"max_tokens", this->plan.outputTokens},
        {"stream",
         true}}.dump();
    EventReader reader(promptTag(this->prompt));
    bool streaming = false;
    bool cancelled = false;
    request.response_handler = [&streaming](const httplib::Response &response) {
        streaming = response.status == 200;
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t /*offset*/, std::uint64_t) {
        if (streaming) {
            reader.take(std::string_view(data, size));
            cancelled = this->plan.cancelAfter >= 0 && reader.outputs() > this->plan.cancelAfter;
        }
        return !cancelled;
    };
    const TimePoint began = Clock::now();
    httplib::Client client = this->connect(this->chooseEntry());
    const httplib::Result result = client.send(request);
    const bool gaveUp = !result && !cancelled && Clock::now() - began >= this->options.patience;
    this->record.outputs = reader.outputs();
    this->record.first = reader.outputs() > 0 ? this->sinceArrival(reader.firstOutput()) : -1;
    this->record.firstOfAttempt = reader.outputs() > 0 ? toSeconds(reader.firstOutput() - began) : -1;
    this->record.between =
        reader.outputs() > 1 ? toSeconds(reader.lastOutput() - reader.firstOutput()) / (reader.outputs() - 1) : -1;
    if (reader.wrong() || (reader.ended() && reader.outputs() != this->plan.outputTokens)) {
        this->record.outcome = "wrong";
    } else if (reader.ended()) {
        this->record.outcome = "done";
    } else if (cancelled) {
        this->record.outcome = "cancelled";
    } else if (!reader.failure().empty()) {
        this->record.outcome = reader.failure();
    } else {
        this->record.outcome = result && result->status == 200 ? "cut" : outcomeOf(result, gaveUp);
    }
}

httplib::Request Caller::makeCall() const
{
    httplib::Request request;
    request.method = this->key.empty() ? "GET" : "POST";
    request.path = "/services/" + this->options.service + (this->key.empty() ? "/status" : "/bookings");
    request.headers = {{"Workspace", this->plan.workspace}};
    if (!this->key.empty()) {
        request.headers.insert({"Idempotency-Key", this->key});
        request.headers.insert({"Content-Type", "application/json"});
        request.body = nlohmann::json{{"booking", this->plan.number}}.dump();
    }
    return request;
}

void Caller::attemptCall()
{
    const TimePoint began = Clock::now();
    httplib::Client client = this->connect(this->chooseEntry());
    const httplib::Result result = client.send(this->makeCall());
    const bool gaveUp = !result && Clock::now() - began >= this->options.patience;
    if (result && result->status == 200) {
        this->record.outcome = "done";
        this->record.first = this->sinceArrival(Clock::now());
        this->record.firstOfAttempt = toSeconds(Clock::now() - began);
        const std::int64_t execution = numberMember(parseJson(result->body), "execution", 1);
        this->record.repeatedExecution = this->record.repeatedExecution || (!this->key.empty() && execution > 1);
        return;
    }
    this->record.outcome = outcomeOf(result, gaveUp);
}

void Caller::sendAgain()
{
    const RequestRecord before = this->record;
    this->attemptCall();
    const bool repeated = this->record.repeatedExecution;
    this->record = before;
    this->record.repeatedExecution = repeated;
}

std::string Caller::fetchTicket()
{
    httplib::Client client = this->connect(this->chooseEntry());
    const httplib::Result result =
        client.Get("/v1/entry?workspace=" + this->plan.workspace + "&session=" + std::to_string(this->plan.number));
    const std::string ticket = result ? textMember(parseJson(result->body), "ticket") : std::string();
    return ticket.empty() ? this->key : ticket;
}

}
