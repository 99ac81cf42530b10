#pragma once

#include "cyclamencross/base/timing.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Cyclamen
{

/// Number of tokens that requests are expected to keep in the KV cache of an engine at fixed times from now. A request
/// starts with its prompt, grows with each token that it generates and frees everything when it ends. Requests that
/// started at different times therefore fit together although the sum of their final sizes exceeds the capacity.
class KvCacheForecast
{
public:
    /// Times from now for which the forecast holds. The last one covers the rest of the longest usual requests.
    static constexpr std::array<Millis, 9> Offsets{Millis(0),    Millis(250),  Millis(500),  Millis(800), Millis(1200),
                                                   Millis(1800), Millis(2600), Millis(3800), Millis(5500)};
    using Tokens = std::array<std::int64_t, Offsets.size()>;

    KvCacheForecast() = default;
    explicit KvCacheForecast(const Tokens &tokens);

    /// Returns the forecast of work that keeps @p tokens for longer than the last offset.
    static KvCacheForecast constant(std::int64_t tokens);
    /// Returns the forecast of one request.
    /// @param tokens tokens in the KV cache now.
    /// @param remaining tokens that the request is expected to generate until it ends.
    /// @param millisPerToken time in which the request generates a token; if it is 0, the time is not known, and the
    /// request counts with its final size at all offsets.
    static KvCacheForecast ofRequest(std::int64_t tokens, std::int64_t remaining, double millisPerToken);

    KvCacheForecast &operator+=(const KvCacheForecast &other);
    KvCacheForecast &operator-=(const KvCacheForecast &other);
    /// Multiplies the number of tokens, to extrapolate from a part of the work to all of it.
    KvCacheForecast &operator*=(std::int64_t factor);

    /// Returns the largest number of tokens at any offset if the work of @p other is added.
    std::int64_t peakWith(const KvCacheForecast &other) const;
    /// Returns the largest number of tokens at any offset.
    std::int64_t peak() const;
    /// Returns the tokens by offset.
    const Tokens &tokens() const;

    bool operator==(const KvCacheForecast &) const = default;

private:
    Tokens tokensByOffset{};
};

}
