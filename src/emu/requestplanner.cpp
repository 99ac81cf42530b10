#include "requestplanner.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

RequestPlanner::RequestPlanner(const LoadOptions &options)
    : options(options)
    , random(options.seed)
{
}

bool RequestPlanner::chance(double share)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

double RequestPlanner::logUniform(double low, double high)
{
    return std::exp(std::uniform_real_distribution<>(std::log(low), std::log(std::max(low, high)))(this->random));
}

std::optional<RequestPlan> RequestPlanner::next()
{
    this->now += std::exponential_distribution<>(this->options.rate)(this->random);
    if (this->now > this->options.duration) {
        return std::nullopt;
    }
    RequestPlan plan;
    plan.number = ++this->number;
    plan.arrival = Micros(static_cast<std::int64_t>(this->now * 1e6));
    const std::size_t workspaces = std::max<std::size_t>(1, this->options.workspaces);
    plan.workspace = "workspace" + std::to_string(this->random() % workspaces);
    plan.isService = !this->options.service.empty() && this->chance(this->options.serviceShare);
    plan.promptTokens = static_cast<std::size_t>(this->logUniform(this->options.promptMin, this->options.promptMax));
    plan.sharedPrefix = this->chance(this->options.prefixShare);
    plan.outputTokens = static_cast<int>(this->logUniform(this->options.outputMin, this->options.outputMax));
    if (this->chance(this->options.cancelShare)) {
        plan.cancelAfter = static_cast<int>(this->random() % static_cast<std::uint64_t>(plan.outputTokens));
    }
    plan.keyed = this->chance(this->options.keyShare);
    plan.ticket = this->chance(this->options.ticketShare);
    plan.resend = this->chance(this->options.resendShare);
    plan.seed = this->random();
    return plan;
}

}
