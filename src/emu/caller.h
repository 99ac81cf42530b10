#pragma once

#include "loadoptions.h"
#include "requestplan.h"
#include "requestrecord.h"

#include <random>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// One caller of the load generator. It sends the request of one plan, with retries.
class Caller
{
public:
    /// @param start the start of the run.
    Caller(const LoadOptions &options, RequestPlan plan, TimePoint start);

    /// Sends the request until it is answered or the retries are used up, and returns its result.
    RequestRecord run();

private:
    void attemptCompletion();
    void attemptCall();
    /// Sends an answered call again. Changes the record only if the service executed the call again.
    void resendCall();
    /// Requests a ticket from an entry. Returns the current key if the entry sends none.
    std::string fetchTicket();
    bool shouldRetry() const;
    const std::string &chooseEntry();
    httplib::Client createClient(const std::string &address) const;
    httplib::Request makeCall() const;
    double secondsSinceArrival(TimePoint time) const;

    const LoadOptions &options;
    RequestPlan plan;
    TimePoint start;
    std::mt19937_64 random;
    std::string prompt;
    std::string key;
    RequestRecord record;
};

}
