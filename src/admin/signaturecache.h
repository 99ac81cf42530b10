#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

namespace Cyclamen
{

/// Remembers the signatures of accepted requests to detect replays. Thread-safe.
class SignatureCache
{
public:
    /// Signatures are valid from 30 s before to 30 s after their time, so a replay can arrive up to 60 s after the
    /// original.
    static constexpr std::int64_t RetentionSeconds = 61;

    enum class Result { New, Replay, BeforeStart, Full };

    /// @param capacity maximum number of signatures. When it is reached, new ones are refused until old ones have
    /// expired, since evicting one early would allow its replay.
    /// @param startTime start of this process in Unix seconds. Earlier signatures are refused, since the previous
    /// process at this address may have accepted them.
    SignatureCache(std::size_t capacity, std::int64_t startTime);

    /// Records an authentic @p signature ("TIME.NONCE.MAC") received at @p now, in Unix seconds.
    Result record(const std::string &signature, std::int64_t now);

private:
    std::mutex mutex;
    std::size_t capacity;
    std::int64_t startTime;
    std::unordered_set<std::string> signatures;
    std::deque<std::pair<std::int64_t, std::string>> byReceiveTime;
};

}
