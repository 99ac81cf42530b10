#include "quotaadmission.h"

#include "routerstate.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/routerrequest.h"

#include <utility>

namespace Cyclamen
{

namespace
{

const char *verdictName(QuotaDecision::Verdict verdict)
{
    switch (verdict) {
    case QuotaDecision::Verdict::Empty:
        return "empty";
    case QuotaDecision::Verdict::Thinned:
        return "thinned";
    case QuotaDecision::Verdict::TooLarge:
        return "too-large";
    default:
        return "admitted";
    }
}

}

QuotaAdmission::QuotaAdmission(RouterState &state, const RouterRequest &request, const WorkspaceConfig *workspace)
    : state(state)
    , request(request)
    , workspace(workspace)
{
}

std::optional<Millis> QuotaAdmission::refuse()
{
    if (this->workspace == nullptr) {
        return std::nullopt;
    }
    const std::int64_t tokens = this->request.promptTokens + this->request.maxOutputTokens;
    const QuotaDecision decision =
        this->state.quotas.admit(this->workspace->name, tokens, this->state.random(), this->state.environment.now());
    if (decision.isAdmitted()) {
        this->taken = decision.cost;
        return std::nullopt;
    }
    this->state.metrics.count("cyclamencross_refusals_total", {{"reason", "quota"}});
    LogLine("quota-refused")
        .add("request", this->request.id)
        .add("workspace", this->workspace->name)
        .add("reason", verdictName(decision.verdict))
        .add("cost", decision.cost)
        .add("bucket_level", decision.level)
        .add("rate", decision.ratePerSecond)
        .add("demand", decision.demandPerSecond)
        .add("oldest_report_ms", std::int64_t(decision.oldestReport.count()))
        .add("routers_heard", std::uint64_t(decision.routersHeard))
        .add("routers", std::uint64_t(decision.routers))
        .add("retry_after_ms", std::int64_t(decision.retryAfter.count()))
        .write();
    return decision.retryAfter;
}

void QuotaAdmission::giveBack()
{
    const double cost = std::exchange(this->taken, 0);
    if (cost > 0) {
        this->state.quotas.giveBack(this->workspace->name, cost, this->state.environment.now());
    }
}

}
