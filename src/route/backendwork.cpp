#include "cyclamencross/route/backendwork.h"

namespace Cyclamen
{

BackendWork &BackendWork::operator+=(const BackendWork &other)
{
    this->requests += other.requests;
    this->promptTokens += other.promptTokens;
    this->kvCacheTokens += other.kvCacheTokens;
    return *this;
}

BackendWork &BackendWork::operator-=(const BackendWork &other)
{
    this->requests -= other.requests;
    this->promptTokens -= other.promptTokens;
    this->kvCacheTokens -= other.kvCacheTokens;
    return *this;
}

}
