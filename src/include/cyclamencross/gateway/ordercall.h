#pragma once

#include "cyclamencross/gateway/headerlist.h"

#include <string>

namespace Cyclamen
{

/// An order to an engine as a request.
struct OrderCall
{
    std::string call; ///< Method and target, such as "POST /path".
    HeaderList headers;
    std::string body;

    bool operator==(const OrderCall &) const = default;
};

}
