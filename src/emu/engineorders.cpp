#include "engineorders.h"

#include "jsonbody.h"

#include <algorithm>

namespace Cyclamen
{

EngineOrders::EngineOrders(const EngineOptions &options)
    : options(options)
    , shownRole(options.role)
    , shownModel(options.model)
    , orderedRole(options.role)
    , orderedModel(options.model)
{
}

void EngineOrders::accept(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJson(request.body);
    const std::int64_t fencing = numberMember(body, "fencing", 0);
    const std::string kind = textMember(body, "kind");
    const std::lock_guard lock(this->mutex);
    this->settle();
    if (this->options.checkFencing && fencing < this->greatestFencing) {
        answerJson(response, 409, {{"error", "outdated fencing token"}, {"greatest", this->greatestFencing}});
        return;
    }
    if (kind == "change-role") {
        this->orderedRole = textMember(body, "role");
    } else if (kind == "load-model") {
        this->orderedModel = textMember(body, "model");
    } else if (kind != "load-adapter" && kind != "load-version") {
        answerJson(response, 400, {{"error", "unknown kind of order"}});
        return;
    }
    this->greatestFencing = std::max(this->greatestFencing, fencing);
    this->due = Clock::now() + this->options.orderTime;
    answerJson(response, 202, {{"accepted", true}});
}

void EngineOrders::settle()
{
    if (Clock::now() >= this->due) {
        this->shownRole = this->orderedRole;
        this->shownModel = this->orderedModel;
    }
}

std::string EngineOrders::role()
{
    const std::lock_guard lock(this->mutex);
    this->settle();
    return this->shownRole;
}

std::string EngineOrders::model()
{
    const std::lock_guard lock(this->mutex);
    this->settle();
    return this->shownModel;
}

}
