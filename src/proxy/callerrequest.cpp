#include "callerrequest.h"

#include <strings.h>

namespace Cyclamen
{

bool HeaderLess::operator()(const std::string &left, const std::string &right) const
{
    return strcasecmp(left.c_str(), right.c_str()) < 0;
}

std::string CallerRequest::header(const std::string &name, const std::string &defaultValue) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? defaultValue : found->second;
}

}
