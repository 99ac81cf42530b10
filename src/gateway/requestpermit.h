#pragma once

#include "cyclamencross/route/requestright.h"

#include <memory>
#include <string>

namespace Cyclamen
{

class NamedRateLimits;

/// The right to send one request to a backend server that has named a limit. Takes it on construction and gives it back
/// on destruction unless the request was sent. Of no effect for other backend servers.
class RequestPermit
{
public:
    /// @param backend id of the backend server; NamedRateLimits::mayRequest() must be true.
    RequestPermit(std::shared_ptr<NamedRateLimits> limits, std::string backend);
    ~RequestPermit();
    RequestPermit(const RequestPermit &) = delete;
    RequestPermit &operator=(const RequestPermit &) = delete;

    /// Takes another right if a lower limit has ended the last one. To be called before the request is sent.
    /// @return whether the request may be sent.
    bool renew();
    /// Records that the request was sent.
    void use();
    /// Returns whether the request was sent.
    bool isUsed() const;

private:
    std::shared_ptr<NamedRateLimits> limits;
    std::string backend;
    RequestRight right;
    bool used = false;
};

}
