#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// An idempotency key that an entry issues. Its call may run once, and only at the incarnation of the entry that issued
/// it. Text form: `cxt1.ADDRESS.INCARNATIONHEX.NONCE.MAC`, where NONCE is the time of issue and a random number.
struct Ticket
{
    static constexpr std::string_view Prefix = "cxt1.";
    /// The issuer refuses older tickets, so that it need not store used ones forever.
    static constexpr Millis Lifetime{900000};

    std::string address; ///< The issuer's admin address.
    std::uint64_t incarnation = 0;
    Millis issued{0}; ///< Since the start of the issuer's incarnation.

    bool operator==(const Ticket &) const = default;
};

/// Returns the text form of @p ticket, with a new random number and a MAC by @p sharedKey.
std::string issueTicket(const Ticket &ticket, const std::string &sharedKey);

/// Returns whether @p key has the prefix of a ticket. The ticket may still be invalid.
bool hasTicketPrefix(const std::string &key);

/// Parses and authenticates a ticket.
/// @return nothing if @p text is malformed or its MAC is wrong.
std::optional<Ticket> readTicket(const std::string &text, const std::string &sharedKey);

}
