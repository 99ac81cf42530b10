#pragma once

#include "keyvalueentry.h"

#include <cstdint>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Returns the 64-bit number in a member, which the protocol encodes as a string; 0 if the member is missing.
/// @throws nlohmann::json::exception or std::exception if it is not a number.
std::int64_t numberMember(const nlohmann::json &object, const char *name);
/// Converts an element of "kvs" or the value of "kv" in a response.
/// @throws nlohmann::json::exception or std::exception if it is malformed.
KeyValueEntry toEntry(const nlohmann::json &kv);

}
