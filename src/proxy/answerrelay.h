#pragma once

#include "answerwriter.h"
#include "callerexchange.h"
#include "streamcheck.h"

#include "cyclamencross/base/timing.h"

#include <functional>
#include <string>

namespace Cyclamen
{

/// Checks the events of an engine's streams and passes their text on to the caller, at once or at the end.
class AnswerRelay
{
public:
    /// @param begun called when the first output goes to the caller or into the whole answer.
    AnswerRelay(CallerExchange &exchange, const ModelRequest &request, const std::string &requestId,
                std::function<void()> begun);

    /// Begins an attempt whose events carry @p attemptId. Nothing may have been put out before.
    void expect(const std::string &attemptId);
    /// Begins a resumed stream of the same attempt.
    void resume();
    /// Takes the data of one event.
    /// @return false when the stream need not be read on: complete, in violation, or the caller is gone.
    bool take(std::string_view data);

    /// Returns what the checks found; see StreamCheck.
    const StreamCheck &check() const;
    std::uint64_t outputs() const;
    TimePoint firstOutput() const;
    /// Returns the mean time between outputs, 0 with fewer than two.
    Micros betweenOutputs() const;

    /// Ends the answer as complete.
    /// @return the whole answer's text in the caller's form; empty for a stream.
    std::string finish();
    /// Reports @p error, as the stream's last event or as the whole reply.
    void fail(const CallerError &error);

private:
    bool deliver(const std::string &text);

    CallerExchange &exchange;
    std::string requestId;
    bool stream;
    AnswerWriter writer;
    std::function<void()> begun;
    StreamCheck streamCheck;
    std::string whole;
    std::uint64_t count = 0;
    TimePoint first;
    TimePoint last;
};

}
