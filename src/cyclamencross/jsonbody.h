#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

/// Reads members of JSON bodies; a missing member or one of another type reads as empty.
namespace Cyclamen
{

using Json = nlohmann::ordered_json;

/// Parses @p body; text that is not JSON gives an empty object.
Json parseBody(const std::string &body);
/// Returns the member @p key, or null.
Json member(const Json &object, const char *key);
std::string text(const Json &object, const char *key);
std::uint64_t number(const Json &object, const char *key);
bool flag(const Json &object, const char *key);
/// Returns the array @p key, or an empty one.
Json list(const Json &object, const char *key);

}
