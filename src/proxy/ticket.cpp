#include "ticket.h"

#include "cyclamencross/base/hash.h"

#include <charconv>

#include <sodium.h>

namespace Cyclamen
{

namespace
{

constexpr std::size_t HexDigits = 16;
constexpr std::size_t NonceDigits = 2 * HexDigits; // Time of issue and a random number.

std::optional<std::uint64_t> fromHex(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != HexDigits || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return value;
}

// Removes the last dot and what follows it from @p text.
// Returns the part after the dot; empty if there is no dot.
std::string_view splitLastPart(std::string_view &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const std::string_view last = text.substr(dot + 1);
    text = text.substr(0, dot);
    return last;
}

}

std::string issueTicket(const Ticket &ticket, const std::string &sharedKey)
{
    const std::string text = std::string(Ticket::Prefix) + ticket.address + "." + toHex(ticket.incarnation) + "."
        + toHex(static_cast<std::uint64_t>(ticket.issued.count())) + toHex(randomNumber());
    return text + "." + keyedHash(text, sharedKey);
}

bool hasTicketPrefix(const std::string &key)
{
    return key.starts_with(Ticket::Prefix);
}

std::optional<Ticket> readTicket(const std::string &text, const std::string &sharedKey)
{
    if (!hasTicketPrefix(text)) {
        return std::nullopt;
    }
    std::string_view rest = text;
    const std::string_view mac = splitLastPart(rest);
    const std::string expected = keyedHash(rest, sharedKey);
    if (mac.size() != expected.size() || sodium_memcmp(mac.data(), expected.data(), mac.size()) != 0) {
        return std::nullopt;
    }
    const std::string_view nonce = splitLastPart(rest);
    const auto issued = fromHex(nonce.substr(0, HexDigits));
    const auto incarnation = fromHex(splitLastPart(rest));
    if (nonce.size() != NonceDigits || !issued || !incarnation || rest.size() <= Ticket::Prefix.size()) {
        return std::nullopt;
    }
    return Ticket{std::string(rest.substr(Ticket::Prefix.size())), *incarnation,
                  Millis(static_cast<std::int64_t>(*issued))};
}

}
