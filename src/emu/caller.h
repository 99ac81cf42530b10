#pragma once

#include "loadoptions.h"
#include "requestplan.h"
#include "requestrecord.h"

#include <random>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// One caller of the load generator: carries out one plan with its retries.
class Caller
{
public:
    /// @param start of the run.
    Caller(const LoadOptions &options, RequestPlan plan, TimePoint start);

    /// Sends the request until it is answered or the retries are used up, and returns what became of it.
    RequestRecord run();

private:
    void attemptCompletion();
    void attemptCall();
    void sendAgain();
    std::string fetchTicket();
    bool wantsRetry() const;
    const std::string &chooseEntry();
    httplib::Client connect(const std::string &address) const;
    httplib::Request makeCall() const;
    double sinceArrival(TimePoint time) const;

    const LoadOptions &options;
    RequestPlan plan;
    TimePoint start;
    std::mt19937_64 random;
    std::string prompt;
    std::string key;
    RequestRecord record;
};

}
