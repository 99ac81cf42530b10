#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

/// Lenient access to the members of JSON bodies: a missing member, or one of another type, gives the empty value of the
/// type (null, "", 0, false or an empty array).
namespace Cyclamen
{

using Json = nlohmann::ordered_json;

/// Parses @p body; text that is not a JSON object gives an empty object.
Json parseBody(const std::string &body);
Json jsonMember(const Json &object, const char *key);
std::string stringMember(const Json &object, const char *key);
std::uint64_t uintMember(const Json &object, const char *key);
bool boolMember(const Json &object, const char *key);
Json arrayMember(const Json &object, const char *key);

}
