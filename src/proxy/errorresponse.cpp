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
    HttpResponse reply{error.status, {}, errorJson(error, requestId)};
    reply.headers["Content-Type"] = "application/json";
    reply.headers["Run-Outcome"] = toString(error.outcome);
    if (error.retryAfter) {
        const auto base = static_cast<std::uint64_t>(error.retryAfter->count());
        const std::uint64_t jittered = base + randomNumber() % (base + 1);
        reply.headers["Retry-After"] = std::to_string((jittered + 999) / 1000);
    }
    return reply;
}

std::string errorType(const HttpResponse &reply)
{
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/error/type");
    return body.is_object() && body.contains(pointer) && body[pointer].is_string() ? body[pointer].get<std::string>()
                                                                                   : "";
}

}
