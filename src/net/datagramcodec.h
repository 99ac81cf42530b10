#pragma once

#include "cyclamencross/net/datagram.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Encodes datagrams with a keyed hash at the end, and verifies and decodes them.
class DatagramCodec
{
public:
    static constexpr std::size_t HashBytes = 16;

    explicit DatagramCodec(std::string_view sharedKey);

    /// Returns the encoded @p datagram. Its member `from` is not included.
    std::string encode(const Datagram &datagram) const;
    /// Returns the decoded datagram, or nothing if the keyed hash is wrong or the content is malformed.
    std::optional<Datagram> decode(std::string_view bytes) const;

private:
    using Hash = std::array<unsigned char, HashBytes>;
    Hash hash(std::string_view content) const;

    std::array<unsigned char, 32> key{};
};

}
