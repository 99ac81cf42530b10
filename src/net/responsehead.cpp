#include "cyclamencross/net/responsehead.h"

#include "cyclamencross/base/httpsyntax.h"

#include <algorithm>

#include <httplib.h>

namespace Cyclamen
{

bool isValidResponseHead(const httplib::Response &response)
{
    return isFinalStatus(response.status)
        && std::all_of(response.headers.begin(), response.headers.end(),
                       [](const auto &field) { return isFieldName(field.first); });
}

}
