#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// A key under which a call may run once, at the entry incarnation that issued it:
/// `cxt1.ADDRESS.INCARNATIONHEX.NONCE.MAC`. NONCE holds the time of issue and a random number.
struct Ticket
{
    static constexpr std::string_view Prefix = "cxt1.";
    /// An issuer refuses an older ticket, so that it need not remember used ones for ever.
    static constexpr Millis Lifetime{900000};

    std::string address; ///< The issuer's admin address.
    std::uint64_t incarnation = 0;
    Millis issued{0}; ///< On the issuer's own clock.

    bool operator==(const Ticket &) const = default;
};

/// Returns a new ticket as text.
std::string issueTicket(const Ticket &ticket, const std::string &sharedKey);

/// Returns whether @p key claims to be a ticket.
bool looksLikeTicket(const std::string &key);

/// Reads a ticket.
/// @return nothing if it is malformed or its hash is wrong.
std::optional<Ticket> readTicket(const std::string &text, const std::string &sharedKey);

}
