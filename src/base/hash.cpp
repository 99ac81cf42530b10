#include "cyclamencross/base/hash.h"

#include <array>

#include <sodium.h>
#include <xxhash.h>

namespace Cyclamen
{

namespace
{

std::string bytesToHex(const unsigned char *bytes, std::size_t size)
{
    std::string digits(size * 2 + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), bytes, size);
    digits.pop_back(); // sodium_bin2hex() writes a terminating NUL.
    return digits;
}

}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::array<std::uint8_t, 16> keyedHashBytes(std::string_view data, std::string_view key)
{
    // libsodium accepts keys of at most 64 bytes, so the key is first hashed to a fixed length.
    std::array<unsigned char, crypto_generichash_KEYBYTES> fixedLengthKey{};
    crypto_generichash(fixedLengthKey.data(), fixedLengthKey.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::array<std::uint8_t, 16> hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                       fixedLengthKey.data(), fixedLengthKey.size());
    return hash;
}

std::string keyedHash(std::string_view data, std::string_view key)
{
    const auto hash = keyedHashBytes(data, key);
    return bytesToHex(hash.data(), hash.size());
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    while (number == 0) {
        randombytes_buf(&number, sizeof number);
    }
    return number;
}

std::string toHex(std::uint64_t number)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = text.size(); i-- > 0; number >>= 4U) {
        text[i] = Digits[number & 0xFU];
    }
    return text;
}

}
