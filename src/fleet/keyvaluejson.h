#pragma once

#include "keyvalueentry.h"

#include <cstdint>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Returns a 64-bit number, which the protocol writes as a string; 0 if the member is missing.
/// @throws nlohmann::json::exception or std::exception if it is no number.
std::int64_t numberMember(const nlohmann::json &object, const char *name);
/// Returns the entry in a member "kv" or "kvs" of an answer.
/// @throws nlohmann::json::exception or std::exception if it is malformed.
KeyValueEntry toEntry(const nlohmann::json &kv);

}
