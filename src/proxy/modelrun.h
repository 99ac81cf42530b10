#pragma once

#include "answerrelay.h"
#include "enginehold.h"
#include "engineselection.h"
#include "modelrequest.h"

#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/decide/admission.h"
#include "cyclamencross/decide/requeststate.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Runs one validated model request: admission, reservation, prefill, decode and relay, with retries before the first
/// output.
class ModelRun
{
public:
    /// @param targets the fleet's values with the exceptions for this request.
    /// @param fingerprint crash fingerprint of the request.
    /// @param arrival when the request was read.
    ModelRun(ProxyCore &core, CallerExchange &exchange, ModelRequest request, FleetDefaults targets,
             std::string requestId, std::uint64_t fingerprint, TimePoint arrival);

    /// Runs the request to its end and answers the caller.
    /// @return the error that the caller was told; nothing if the whole answer was delivered.
    std::optional<CallerError> run();
    /// Returns the whole answer, if it was not a stream.
    const std::string &wholeAnswer() const;

private:
    /// Why an attempt ended without a whole answer.
    struct Failure
    {
        CallerError error;
        bool retryable = false;
    };
    using Step = std::optional<Failure>;

    bool mayCrashAgain() const;
    Step attempt();
    Step admitEarly();
    Step reserveDecode();
    Step reservePrefill();
    Step prefill();
    Step decode();
    /// Continues a stream that was cut or violated the rules, on the same engine.
    Step resume(const ExchangeEnd &cut);
    ExchangeEnd readStream(const std::string &path, const std::string &body);
    Step checkDispatch(const std::string &engine);
    void endAttempt();

    Step ended() const;
    Failure fail(int status, const std::string &type, const std::string &message, bool retryable) const;
    Failure refuse(const std::string &type, const std::string &message, Millis retryAfter) const;
    Failure broken(const std::string &engine, const ExchangeEnd &end, const std::string &stage);
    Millis leftUntilFirstOutput() const;
    SlotAsk askFor(const std::string &engine, Millis maxWait) const;
    void logChoice(const char *stage, const std::vector<RankedEngine> &candidates, const std::string &choice,
                   const char *reason, const AdmissionDecision &admission) const;
    void countDone();

    ProxyCore &core;
    CallerExchange &exchange;
    const ModelRequest request;
    const FleetDefaults targets;
    const std::string requestId; ///< What the caller sees.
    const std::uint64_t fingerprint;
    const TimePoint arrival;
    const std::string workspaceLabel;
    bool suspect;
    EngineSelection selection;
    RequestState state;
    AnswerRelay relay;

    std::string attemptId; ///< What the engines see; new for each attempt, so that late events cannot be mixed up.
    int attempts = 0;
    int brokenOff = 0; ///< Attempts whose engine broke off without an answer, each of which may have been a crash.
    std::unique_ptr<EngineHold> decodeHold;
    std::unique_ptr<EngineHold> prefillHold;
    std::string handle;
    Millis expectedPrefill{0}; ///< Until the first output, once a decode slot is there; 0 after the prefill.
    bool prefillSpent = false; ///< The attempt's prefill may have cost an engine work.
    std::string answer;
};

}
