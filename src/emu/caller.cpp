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

// cpp-httplib reports a read timeout and a broken connection alike; timedOut tells them apart.
std::string outcomeOf(const httplib::Result &result, bool timedOut)
{
    if (timedOut) {
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
    this->record.isServiceCall = this->plan.isServiceCall;
    this->record.arrival = std::chrono::duration<double>(this->plan.arrival).count();
    if (!this->plan.isServiceCall) {
        this->prompt = makePrompt(this->plan);
    } else if (this->plan.hasKey) {
        this->key = "load-" + std::to_string(this->options.seed) + "-" + std::to_string(this->plan.number);
        this->key = this->plan.usesTicket ? this->fetchTicket() : this->key;
    }
    do {
        if (this->record.attempts > 0) {
            const double mean = double(this->options.retryDelay.count());
            const double wait = std::uniform_real_distribution<>(0.5, 1.5)(this->random) * mean;
            std::this_thread::sleep_for(Millis(static_cast<std::int64_t>(wait)));
        }
        ++this->record.attempts;
        if (this->plan.isServiceCall) {
            this->attemptCall();
        } else {
            this->attemptCompletion();
        }
        this->record.refusedAttempts += this->record.outcome == "not-run" ? 1 : 0;
        this->record.lateAttempts += this->record.outcome == "late" ? 1 : 0;
    } while (this->shouldRetry());
    this->record.end = toSeconds(Clock::now() - this->start);
    if (this->plan.resendAfterAnswer && !this->key.empty()) {
        this->resendCall();
    }
    return this->record;
}

bool Caller::shouldRetry() const
{
    const std::string &outcome = this->record.outcome;
    return this->record.attempts <= this->options.retries && outcome != "done" && outcome != "cancelled"
        && outcome != "wrong";
}

const std::string &Caller::chooseEntry()
{
    return this->options.entries[this->random() % this->options.entries.size()];
}

httplib::Client Caller::createClient(const std::string &address) const
{
    const std::size_t colon = address.rfind(':');
    httplib::Client client(address.substr(0, colon), std::atoi(address.substr(colon + 1).c_str()));
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(this->options.readTimeout);
    client.set_tcp_nodelay(true);
    return client;
}

double Caller::secondsSinceArrival(TimePoint time) const
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
            reader.feed(std::string_view(data, size));
            cancelled = this->plan.cancelAfter >= 0 && reader.outputs() > this->plan.cancelAfter;
        }
        return !cancelled;
    };
    const TimePoint startTime = Clock::now();
    httplib::Client client = this->createClient(this->chooseEntry());
    const httplib::Result result = client.send(request);
    const bool timedOut = !result && !cancelled && Clock::now() - startTime >= this->options.readTimeout;
    this->record.outputs = reader.outputs();
    this->record.timeToFirstOutput = reader.outputs() > 0 ? this->secondsSinceArrival(reader.firstOutput()) : -1;
    this->record.attemptTimeToFirstOutput = reader.outputs() > 0 ? toSeconds(reader.firstOutput() - startTime) : -1;
    this->record.timeBetweenOutputs =
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
        this->record.outcome = result && result->status == 200 ? "cut" : outcomeOf(result, timedOut);
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
    const TimePoint startTime = Clock::now();
    httplib::Client client = this->createClient(this->chooseEntry());
    const httplib::Result result = client.send(this->makeCall());
    const bool timedOut = !result && Clock::now() - startTime >= this->options.readTimeout;
    if (result && result->status == 200) {
        this->record.outcome = "done";
        this->record.timeToFirstOutput = this->secondsSinceArrival(Clock::now());
        this->record.attemptTimeToFirstOutput = toSeconds(Clock::now() - startTime);
        const std::int64_t execution = numberMember(parseJsonObject(result->body), "execution", 1);
        this->record.repeatedExecution = this->record.repeatedExecution || (!this->key.empty() && execution > 1);
        return;
    }
    this->record.outcome = outcomeOf(result, timedOut);
}

void Caller::resendCall()
{
    const RequestRecord savedRecord = this->record;
    this->attemptCall();
    const bool repeated = this->record.repeatedExecution;
    this->record = savedRecord;
    this->record.repeatedExecution = repeated;
}

std::string Caller::fetchTicket()
{
    httplib::Client client = this->createClient(this->chooseEntry());
    const httplib::Result result =
        client.Get("/v1/entry?workspace=" + this->plan.workspace + "&session=" + std::to_string(this->plan.number));
    const std::string ticket = result ? stringMember(parseJsonObject(result->body), "ticket") : std::string();
    return ticket.empty() ? this->key : ticket;
}

}
