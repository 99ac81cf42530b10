#pragma once

#include <cstdint>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Parses @p text as a JSON object.
/// @return the object, or an empty one if @p text is not a JSON object.
nlohmann::json parseJsonObject(const std::string &text);

/// Returns the string member @p name of @p object, or an empty string if there is none.
std::string stringMember(const nlohmann::json &object, const char *name);

/// Returns the integer member @p name of @p object, or @p fallback if there is none. The member may also be a string,
/// which is how etcd writes 64-bit integers.
std::int64_t numberMember(const nlohmann::json &object, const char *name, std::int64_t fallback);

/// Sets the status and @p body of a response.
void answerJson(httplib::Response &response, int status, const nlohmann::json &body);

/// Sets an error response that says that the request did not run and will not run: it has `Run-Outcome: not-run`.
void answerNotRun(httplib::Response &response, int status, const std::string &message);

}
