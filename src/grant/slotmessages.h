#pragma once

#include "slotrelease.h"
#include "slotreply.h"

#include "cyclamencross/base/slotask.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Encodes messages between entries as cereal portable binary. Monotonic clocks of two hosts differ, so a load carries
/// its age at @p now.
std::string encode(const SlotAsk &ask);
std::string encode(const SlotReply &reply, TimePoint now);
std::string encode(const SlotRelease &release);

/// Decodes what encode() made.
/// @return nothing if @p payload is malformed.
std::optional<SlotAsk> decodeAsk(const std::string &payload);
std::optional<SlotReply> decodeReply(const std::string &payload, TimePoint now);
std::optional<SlotRelease> decodeRelease(const std::string &payload);

}
