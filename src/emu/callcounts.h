#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

/// Counts the calls that the emulated platform receives, by path. A long-running watch counts once. Thread-safe.
class CallCounts
{
public:
    void add(const std::string &path);
    /// Returns {"total", "paths": {PATH: n}}.
    nlohmann::json report() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> paths;
};

}
