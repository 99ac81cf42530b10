#include "cyclamencross/base/base64.h"

#include <sodium.h>

namespace Cyclamen
{

std::string toBase64(std::string_view data)
{
    std::string text(sodium_base64_encoded_len(data.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // sodium_bin2base64() writes a terminating NUL.
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string data(text.size() / 4 * 3 + 3, '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(data.data()), data.size(), text.data(), text.size(),
                          nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0) {
        return std::nullopt;
    }
    data.resize(size);
    return data;
}

}
