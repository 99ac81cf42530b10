#include "base64.h"

#include <sodium.h>

namespace Cyclamen
{

std::string encodeBase64(const std::string &data)
{
    std::string text(sodium_base64_ENCODED_LEN(data.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string data(text.size(), '\0');
    std::size_t size = 0;
    const int fault = sodium_base642bin(reinterpret_cast<unsigned char *>(data.data()), data.size(), text.data(),
                                        text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    data.resize(fault == 0 ? size : 0);
    return data;
}

}
