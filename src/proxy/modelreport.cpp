// Logging and metrics of ModelRun.

#include "modelrun.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxLoggedCandidates = 5;

}

void ModelRun::logRouting(const char *stage, const std::vector<RankedEngine> &candidates, const std::string &choice,
                          const char *reason, const AdmissionDecision &admission) const
{
    Json list = Json::array();
    for (std::size_t i = 0; i < std::min(candidates.size(), MaxLoggedCandidates); ++i) {
        const RankedEngine &candidate = candidates[i];
        list.push_back({{"engine", candidate.engine.address},
                        {"wait_ms", candidate.expectedWaitMs},
                        {"cost_ms", candidate.costMs},
                        {"prefix_hit", candidate.prefixHit}});
    }
    LogLine line("route");
    line.add("request", this->requestId)
        .add("attempt", this->attemptId)
        .add("stage", stage)
        .add("workspace", this->request.workspace)
        .add("model", this->request.model)
        .addJson("candidates", list.dump(-1, ' ', false, Json::error_handler_t::replace))
        .add("candidate_count", std::uint64_t(candidates.size()))
        .add("choice", choice)
        .add("reason", reason);
    // Only decisions based on an admission check have these values.
    if (admission != AdmissionDecision{}) {
        line.add("expected_ms", std::int64_t(admission.expected.count()))
            .add("left_ms", std::int64_t(admission.left.count()));
    }
    line.write();
}

void ModelRun::recordLatencyMetrics()
{
    const Metrics::Labels labels{{"workspace", this->workspaceLabel}, {"model", this->request.model}};
    if (this->relay.outputs() == 0) {
        return; // An empty response has no latencies.
    }
    const auto firstOutput = this->relay.firstOutput() - this->arrival;
    this->core.metrics.observe("cyclamencross_first_output_seconds", toSeconds(firstOutput));
    this->core.metrics.observe("cyclamencross_between_outputs_seconds", toSeconds(this->relay.betweenOutputs()));
    if (firstOutput <= this->targets.firstTokenTarget
        && this->relay.betweenOutputs() <= this->targets.betweenTokensTarget) {
        this->core.metrics.count("cyclamencross_goodput_total", labels);
    }
}

}
