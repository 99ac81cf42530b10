#pragma once

#include "slotrelease.h"
#include "slotreply.h"

#include "cyclamencross/base/slotask.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Encodes messages between entries as cereal portable binary. Monotonic clocks of two hosts differ, so a load is sent
/// with its age at @p now instead of its time.
std::string encode(const SlotAsk &request);
std::string encode(const SlotReply &reply, TimePoint now);
std::string encode(const SlotRelease &release);

/// Decodes the result of encode().
/// @return nothing if @p payload is malformed.
std::optional<SlotAsk> decodeSlotRequest(const std::string &payload);
std::optional<SlotReply> decodeSlotReply(const std::string &payload, TimePoint now);
std::optional<SlotRelease> decodeSlotRelease(const std::string &payload);

}
