#include "engineorders.h"

#include "jsonbody.h"

#include <algorithm>

namespace Cyclamen
{

EngineOrders::EngineOrders(const EngineOptions &options)
    : options(options)
    , reportedRole(options.role)
    , reportedModel(options.model)
    , orderedRole(options.role)
    , orderedModel(options.model)
{
}

void EngineOrders::handleOrder(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJsonObject(request.body);
    const std::int64_t fencingToken = numberMember(body, "fencing", 0);
    const std::string kind = stringMember(body, "kind");
    const std::lock_guard lock(this->mutex);
    this->applyDueOrder();
    if (this->options.checkFencing && fencingToken < this->greatestFencingToken) {
        answerJson(response, 409, {{"error", "outdated fencing token"}, {"greatest", this->greatestFencingToken}});
        return;
    }
    if (kind == "change-role") {
        this->orderedRole = stringMember(body, "role");
    } else if (kind == "load-model") {
        this->orderedModel = stringMember(body, "model");
    } else if (kind != "load-adapter" && kind != "load-version") {
        answerJson(response, 400, {{"error", "unknown kind of order"}});
        return;
    }
    this->greatestFencingToken = std::max(this->greatestFencingToken, fencingToken);
    this->orderDue = Clock::now() + this->options.orderTime;
    answerJson(response, 202, {{"accepted", true}});
}

void EngineOrders::applyDueOrder()
{
    if (Clock::now() >= this->orderDue) {
        this->reportedRole = this->orderedRole;
        this->reportedModel = this->orderedModel;
    }
}

std::string EngineOrders::role()
{
    const std::lock_guard lock(this->mutex);
    this->applyDueOrder();
    return this->reportedRole;
}

std::string EngineOrders::model()
{
    const std::lock_guard lock(this->mutex);
    this->applyDueOrder();
    return this->reportedModel;
}

}
