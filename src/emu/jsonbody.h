#pragma once

#include <cstdint>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Parses @p text.
/// @return an empty object if it isn't a JSON object.
nlohmann::json parseJson(const std::string &text);

/// Returns the text member @p name of @p object, or an empty text.
std::string textMember(const nlohmann::json &object, const char *name);

/// Returns the number member @p name of @p object, which may be written as text as etcd does.
std::int64_t numberMember(const nlohmann::json &object, const char *name, std::int64_t fallback);

/// Answers with @p body.
void answerJson(httplib::Response &response, int status, const nlohmann::json &body);

/// Answers that the work didn't and won't happen: adds `Run-Outcome: not-run`.
void answerNotRun(httplib::Response &response, int status, const std::string &message);

}
