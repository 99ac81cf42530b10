#include "errorresponse.h"

#include "cyclamencross/base/hash.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

std::string errorJson(const CallerError &error, const std::string &requestId)
{
    const nlohmann::ordered_json body{{"error",
                                       {{"type", error.type},
                                        {"message", error.message},
                                        {"outcome", toString(error.outcome)},
                                        {"request_id", requestId}}}};
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

HttpResponse errorResponse(const CallerError &error, const std::string &requestId)
{
    HttpResponse response{error.status, {}, errorJson(error, requestId)};
    response.headers["Content-Type"] = "application/json";
    response.headers["Run-Outcome"] = toString(error.outcome);
    if (error.retryAfter) {
        const auto base = static_cast<std::uint64_t>(error.retryAfter->count());
        const std::uint64_t jittered = base + randomNumber() % (base + 1);
        response.headers["Retry-After"] = std::to_string((jittered + 999) / 1000);
    }
    return response;
}

std::string errorType(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/error/type");
    return body.is_object() && body.contains(pointer) && body[pointer].is_string() ? body[pointer].get<std::string>()
                                                                                   : "";
}

}
