#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

/// Counts the executions of an emulated service, by method and path and by `Idempotency-Key`. Thread-safe.
class ExecutionCounts
{
public:
    /// Counts one execution.
    /// @param key the `Idempotency-Key`, or empty.
    /// @return the number of executions so far with this key, or of this method and path if @p key is empty.
    std::uint64_t add(const std::string &method, const std::string &path, const std::string &key);
    /// Returns {"total", "paths": {"METHOD PATH": n}, "keys": {"KEY": n}}.
    nlohmann::json report() const;

private:
    mutable std::mutex mutex;
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> paths;
    std::map<std::string, std::uint64_t> keys;
};

}
