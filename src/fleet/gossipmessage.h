#pragma once

#include "backendnews.h"
#include "crashlift.h"
#include "memberbrief.h"
#include "memberrecord.h"

#include "cyclamencross/base/crashreport.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cyclamen
{

/// One piece of news that gossip carries.
using GossipItem = std::variant<MemberRecord, MemberBrief, CrashReport, CrashLift, BackendNews>;

/// The content of a Ping, PingRequest or Ack datagram.
struct GossipMessage
{
    /// Whether the message is part of reading the whole member list in pages, as a joining entry does.
    enum class Page : std::uint8_t { None, Wanted, More, Last };

    std::uint64_t number = 0; ///< Of the probe; an Ack repeats it.
    std::string target; ///< "IP:PORT" that a PingRequest asks to ping.
    Page page = Page::None;
    std::string pageAfter; ///< Wanted: the page begins after this name; More: the last name of this page.
    std::vector<GossipItem> items; ///< The first is the sender's own record.

    bool operator==(const GossipMessage &) const = default;
};

/// Returns the number of bytes that @p item takes in a message.
std::size_t wireBytes(const GossipItem &item);
/// Returns the number of bytes of a message without items.
std::size_t wireBytes(const GossipMessage &header);

/// Returns @p message as cereal portable binary.
std::string encodeGossip(const GossipMessage &message);
/// Returns the message in @p bytes, or nothing if it is malformed.
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

}
