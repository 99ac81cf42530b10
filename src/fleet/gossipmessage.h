#pragma once

#include "backenddeparture.h"
#include "crashlift.h"
#include "memberrecord.h"
#include "memberstatus.h"

#include "cyclamencross/base/crashreport.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cyclamen
{

/// An item of a gossip message.
using GossipItem = std::variant<MemberRecord, MemberStatus, CrashReport, CrashLift, BackendDeparture>;

/// The content of a Ping, PingRequest or Ack datagram.
struct GossipMessage
{
    /// Whether the message belongs to a transfer of the whole member list in pages, as when an entry joins.
    enum class Page : std::uint8_t {
        None,
        Requested, ///< A Ping that requests a page.
        More, ///< An Ack with a page that is not the last one.
        Last ///< An Ack with the last page.
    };

    std::uint64_t number = 0; ///< Number of the probe, which its Ack repeats.
    std::string target; ///< "IP:PORT" that a PingRequest asks to ping.
    Page page = Page::None;
    std::string pageAfter; ///< Requested: the page starts after this member name; More: the last name in this page.
    std::vector<GossipItem> items; ///< The first is the record of the sender.

    bool operator==(const GossipMessage &) const = default;
};

/// Returns the size of @p item in an encoded message, in bytes.
std::size_t encodedSize(const GossipItem &item);
/// Returns the size of an encoded message without its items, in bytes.
std::size_t encodedSize(const GossipMessage &header);

/// Encodes @p message as cereal portable binary.
std::string encodeGossip(const GossipMessage &message);
/// Decodes a message. Returns nothing if @p bytes is malformed.
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

}
