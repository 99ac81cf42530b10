#include "requestplanner.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

RequestPlanner::RequestPlanner(const LoadOptions &options)
    : options(options)
    , generator(options.seed)
{
}

bool RequestPlanner::drawBool(double share)
{
    return std::uniform_real_distribution<>(0, 1)(this->generator) < share;
}

double RequestPlanner::drawLogUniform(double low, double high)
{
    return std::exp(std::uniform_real_distribution<>(std::log(low), std::log(std::max(low, high)))(this->generator));
}

std::optional<RequestPlan> RequestPlanner::next()
{
    this->arrivalSeconds += std::exponential_distribution<>(this->options.rate)(this->generator);
    if (this->arrivalSeconds > this->options.duration) {
        return std::nullopt;
    }
    RequestPlan plan;
    plan.number = ++this->lastNumber;
    plan.arrival = Micros(static_cast<std::int64_t>(this->arrivalSeconds * 1e6));
    const std::size_t workspaces = std::max<std::size_t>(1, this->options.workspaces);
    plan.workspace = "workspace" + std::to_string(this->generator() % workspaces);
    plan.isServiceCall = !this->options.service.empty() && this->drawBool(this->options.serviceShare);
    plan.promptTokens =
        static_cast<std::size_t>(this->drawLogUniform(this->options.promptMin, this->options.promptMax));
    plan.sharedPrefix = this->drawBool(this->options.prefixShare);
    plan.outputTokens = static_cast<int>(this->drawLogUniform(this->options.outputMin, this->options.outputMax));
    if (this->drawBool(this->options.cancelShare)) {
        plan.cancelAfter = static_cast<int>(this->generator() % static_cast<std::uint64_t>(plan.outputTokens));
    }
    plan.hasKey = this->drawBool(this->options.keyShare);
    plan.usesTicket = this->drawBool(this->options.ticketShare);
    plan.resendAfterAnswer = this->drawBool(this->options.resendShare);
    plan.seed = this->generator();
    return plan;
}

}
