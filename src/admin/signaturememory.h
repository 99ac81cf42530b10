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

/// The signatures of accepted requests, so that none is accepted twice. Thread-safe.
class SignatureMemory
{
public:
    /// A signature is valid for 30 s before and after its time, so a replay can arrive up to 60 s later.
    static constexpr std::int64_t KeepSeconds = 61;

    enum class Verdict { New, Replay, TooEarly, Full };

    /// @param capacity how many signatures are kept. When it is reached, new ones are refused until old ones have
    /// expired: forgetting one early would allow its replay.
    /// @param start when this memory begins, in Unix seconds. Earlier signatures are refused, since they may have been
    /// used at this process's predecessor.
    SignatureMemory(std::size_t capacity, std::int64_t start);

    /// Records @p signature ("TIME.NONCE.MAC"), whose authenticity has been checked, at @p now (Unix seconds).
    Verdict record(const std::string &signature, std::int64_t now);

private:
    std::mutex mutex;
    std::size_t capacity;
    std::int64_t start;
    std::unordered_set<std::string> known;
    std::deque<std::pair<std::int64_t, std::string>> byTime;
};

}
