#include "cyclamencross/route/backendwork.h"

namespace Cyclamen
{

BackendWork &BackendWork::operator+=(const BackendWork &other)
{
    this->requests += other.requests;
    this->promptTokens += other.promptTokens;
    this->kvCache += other.kvCache;
    return *this;
}

BackendWork &BackendWork::operator-=(const BackendWork &other)
{
    this->requests -= other.requests;
    this->promptTokens -= other.promptTokens;
    this->kvCache -= other.kvCache;
    return *this;
}

}
