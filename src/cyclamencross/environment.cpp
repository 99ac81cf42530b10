#include "environment.h"

#include <cstdlib>

namespace Cyclamen
{

std::string environmentValue(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

}
