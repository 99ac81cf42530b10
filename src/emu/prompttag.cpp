#include "prompttag.h"

#include "cyclamencross/base/hash.h"

#include <cstdint>

namespace Cyclamen
{

std::string promptTag(std::string_view prompt)
{
    std::uint64_t hash = 0xCBF29CE484222325U;
    for (const char byte : prompt) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001B3U;
    }
    return toHex(hash).substr(8);
}

std::string outputText(const std::string &tag, int index)
{
    return tag + "." + std::to_string(index) + " ";
}

}
