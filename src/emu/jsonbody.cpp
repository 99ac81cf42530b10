#include "jsonbody.h"

#include <cstdlib>

namespace Cyclamen
{

nlohmann::json parseJsonObject(const std::string &text)
{
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    return value.is_object() ? value : nlohmann::json::object();
}

std::string stringMember(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t numberMember(const nlohmann::json &object, const char *name, std::int64_t fallback)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    if (found->is_string()) {
        return std::atoll(found->get<std::string>().c_str());
    }
    return found->is_number() ? found->get<std::int64_t>() : fallback;
}

void answerJson(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

void answerNotRun(httplib::Response &response, int status, const std::string &message)
{
    response.set_header("Run-Outcome", "not-run");
    answerJson(response, status, {{"error", {{"message", message}, {"outcome", "not-run"}}}});
}

}
