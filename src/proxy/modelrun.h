#pragma once

#include "enginereservation.h"
#include "engineselection.h"
#include "modelrequest.h"
#include "outputrelay.h"

#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/decide/admission.h"
#include "cyclamencross/decide/requeststate.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Runs one validated model request: admission, reservation of engine capacity, prefill, decode and relay of the
/// output. Failed attempts are retried until the first output.
class ModelRun
{
public:
    /// @param targets the fleet's defaults, with the exceptions that apply to this request.
    /// @param fingerprint crash fingerprint of the request.
    /// @param arrival time at which the request was read.
    ModelRun(ProxyCore &core, CallerExchange &exchange, ModelRequest request, FleetDefaults targets,
             std::string requestId, std::uint64_t fingerprint, TimePoint arrival);

    /// Runs the request to its end and sends the response.
    /// @return the error that was reported to the caller; nothing if the complete response was sent.
    std::optional<CallerError> run();
    /// Returns the response body; empty for a stream or a failure.
    const std::string &fullResponse() const;

private:
    /// Why an attempt ended without a complete response.
    struct Failure
    {
        CallerError error;
        bool retryable = false;
    };
    /// Result of one step of an attempt; empty on success.
    using StepResult = std::optional<Failure>;

    /// Returns whether the request may still be sent to an engine despite the crashes that it may have caused.
    bool mayRetryAfterCrashes() const;
    StepResult attempt();
    StepResult checkAdmission();
    StepResult reserveDecode();
    StepResult reservePrefill();
    StepResult prefill();
    StepResult decode();
    /// Resumes a stream that broke or was invalid, on the same engine.
    StepResult resume(const ExchangeResult &brokenResult);
    ExchangeResult readStream(const std::string &path, const std::string &body);
    /// Fails if the request is cancelled or @p engine is no longer live.
    StepResult checkBeforeDispatch(const std::string &engine);
    /// Records metrics and releases the engines of an attempt.
    void endAttempt();

    /// Returns the failure to report if the request is cancelled.
    StepResult cancelFailure() const;
    Failure makeFailure(int status, const std::string &type, const std::string &message, bool retryable) const;
    Failure makeRefusal(const std::string &type, const std::string &message, Millis retryAfter) const;
    /// Records the failure of an engine for outlier ejection and crash detection, unless the request is cancelled.
    /// @param stage "prefill" or "decode".
    Failure recordEngineFailure(const std::string &engine, const ExchangeResult &result, const std::string &stage);
    Millis timeLeftForFirstOutput() const;
    SlotAsk makeSlotAsk(const std::string &engine, Millis maxWait) const;
    void logRouting(const char *stage, const std::vector<RankedEngine> &candidates, const std::string &choice,
                    const char *reason, const AdmissionDecision &admission) const;
    void recordLatencyMetrics();

    ProxyCore &core;
    CallerExchange &exchange;
    const ModelRequest request;
    const FleetDefaults targets;
    const std::string requestId; ///< Id that is reported to the caller.
    const std::uint64_t fingerprint;
    const TimePoint arrival;
    const std::string workspaceLabel;
    bool suspect;
    EngineSelection selection;
    RequestState state;
    OutputRelay relay;

    /// Id that is sent to the engines. New for each attempt, so that late events of an earlier one are detected.
    std::string attemptId;
    int attemptCount = 0;
    int brokenAttempts = 0; ///< Attempts whose exchange with an engine broke; each may have been a crash.
    std::unique_ptr<EngineReservation> decodeReservation;
    std::unique_ptr<EngineReservation> prefillReservation;
    std::string prefillHandle;
    /// Expected time from the grant of a decode slot to the first output; after the prefill, only the transfer.
    Millis expectedTimeToOutput{0};
    bool prefillMayHaveRun = false; ///< An engine may have run the prefill of this attempt.
    std::string responseBody;
};

}
