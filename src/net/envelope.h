#pragma once

#include "cyclamencross/net/datagram.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Turns datagrams into bytes with a keyed hash at their end, and back.
class Envelope
{
public:
    static constexpr std::size_t HashBytes = 16;

    explicit Envelope(std::string_view sharedKey);

    /// Returns the bytes of @p datagram; its member `from` is not sent.
    std::string seal(const Datagram &datagram) const;
    /// Returns the datagram in @p bytes, or nothing if the keyed hash is wrong or the content is malformed.
    std::optional<Datagram> open(std::string_view bytes) const;

private:
    using Hash = std::array<unsigned char, HashBytes>;
    Hash hash(std::string_view content) const;

    std::array<unsigned char, 32> key{};
};

}
