#pragma once

#include <string>

namespace Cyclamen
{

/// Effective value of one configuration key and where it comes from.
struct ValueSource
{
    std::string key;
    std::string value;
    std::string source; ///< "defaults", or the scope and subject of an exception, for example "workspace field-desk".
    std::string reason; ///< Reason given for the exception; empty for the defaults.
    std::string author; ///< Author of the exception, or of the configuration for the defaults.

    bool operator==(const ValueSource &) const = default;
};

}
