#pragma once

#include "keyvalueclient.h"

#include "cyclamencross/base/settings.h"

#include <memory>
#include <string>

namespace Cyclamen
{

/// Sends requests to the key-value service over a bounded number of kept connections. Thread-safe.
class KeyValueHttp
{
public:
    /// Calls in flight; one more waits for a place, at most as long as a call may take.
    static constexpr int MaxCalls = 16;

    explicit KeyValueHttp(const Settings &settings);
    ~KeyValueHttp();
    KeyValueHttp(const KeyValueHttp &) = delete;
    KeyValueHttp &operator=(const KeyValueHttp &) = delete;

    /// See KeyValueCall.
    boost::leaf::result<std::string> call(const std::string &path, const std::string &body);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
