#pragma once

#include <string>

namespace Cyclamen
{

/// Where the value of one configuration key comes from.
struct ValueSource
{
    std::string key;
    std::string value;
    std::string source; ///< "defaults", or the scope and subject of an exception, for example "workspace field-desk".
    std::string reason; ///< Of the exception; empty for the defaults.
    std::string author;

    bool operator==(const ValueSource &) const = default;
};

}
