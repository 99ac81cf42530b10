#pragma once

#include "keyvalueclient.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <string>

namespace Cyclamen
{

/// Sends requests to the key-value service over a bounded pool of keep-alive connections. Thread-safe.
class KeyValueHttp
{
public:
    /// Limit on calls in flight. Further calls wait for a free slot for up to the timeout of a call.
    static constexpr int MaxConcurrentCalls = 16;

    explicit KeyValueHttp(const Settings &settings);
    ~KeyValueHttp();
    KeyValueHttp(const KeyValueHttp &) = delete;
    KeyValueHttp &operator=(const KeyValueHttp &) = delete;

    /// See KeyValueCall.
    boost::leaf::result<std::string> call(const std::string &path, const std::string &body);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
