#pragma once

#include "callerexchange.h"
#include "completionformatter.h"
#include "streamvalidator.h"

#include "cyclamencross/base/timing.h"

#include <functional>
#include <string>

namespace Cyclamen
{

/// Validates the events of an engine's stream and relays their text to the caller: event by event for a streaming
/// request, otherwise as one response at the end.
class OutputRelay
{
public:
    /// @param onFirstOutput called before the first output is written to the caller or buffered for the response.
    OutputRelay(CallerExchange &exchange, const ModelRequest &request, const std::string &requestId,
                std::function<void()> onFirstOutput);

    /// Starts an attempt whose events carry @p attemptId. No output may have been relayed before.
    void startAttempt(const std::string &attemptId);
    /// Starts a resumed stream of the same attempt.
    void resume();
    /// Handles the data of one event.
    /// @return false if reading can stop: the stream is complete or invalid, the response is too large, or the caller
    /// has disconnected.
    bool handleEvent(std::string_view data);

    /// Returns the validation state of the current attempt.
    const StreamValidator &validator() const;
    /// Returns the number of events whose text was relayed.
    std::uint64_t outputs() const;
    /// Returns the time of the first output; valid only if outputs() > 0.
    TimePoint firstOutput() const;
    /// Returns the mean time between outputs; 0 if there are fewer than two.
    Micros betweenOutputs() const;

    /// Completes the response.
    /// @return the response body; empty for a stream.
    std::string finish();
    /// Reports @p error: as the last event if the stream has started, otherwise as the response.
    void fail(const CallerError &error);

private:
    bool deliver(const std::string &text);

    CallerExchange &exchange;
    std::string requestId;
    bool stream;
    CompletionFormatter formatter;
    std::function<void()> onFirstOutput;
    StreamValidator streamValidator;
    std::string bufferedText;
    std::uint64_t outputCount = 0;
    TimePoint firstOutputTime;
    TimePoint lastOutputTime;
};

}
