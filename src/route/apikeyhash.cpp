#include "cyclamencross/route/apikeyhash.h"

#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

const std::string &processSecret()
{
    static const std::string Secret = toHex(randomNumber()) + toHex(randomNumber());
    return Secret;
}

}

ApiKeyHash::ApiKeyHash(std::string_view apiKey)
    : bytes(keyedHashBytes(apiKey, processSecret()))
{
}

bool ApiKeyHash::operator<(const ApiKeyHash &other) const
{
    return this->bytes < other.bytes;
}

}
