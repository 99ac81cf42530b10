#include "cyclamencross/route/kvcacheforecast.h"

#include <algorithm>

namespace Cyclamen
{

KvCacheForecast::KvCacheForecast(const Tokens &tokens)
    : tokensByOffset(tokens)
{
}

KvCacheForecast KvCacheForecast::constant(std::int64_t tokens)
{
    KvCacheForecast forecast;
    forecast.tokensByOffset.fill(tokens);
    return forecast;
}

KvCacheForecast KvCacheForecast::ofRequest(std::int64_t tokens, std::int64_t remaining, double millisPerToken)
{
    if (millisPerToken <= 0) {
        return constant(tokens + remaining);
    }
    KvCacheForecast forecast;
    const auto generatedUntil = [millisPerToken](Millis offset) {
        return std::int64_t(double(offset.count()) / millisPerToken);
    };
    for (std::size_t i = 0; i < Offsets.size() && generatedUntil(Offsets[i]) <= remaining; ++i) {
        // An offset stands for the time until the next one, in which the request goes on growing.
        const Millis next = i + 1 < Offsets.size() ? Offsets[i + 1] : Offsets[i];
        forecast.tokensByOffset[i] = tokens + std::min(remaining, generatedUntil((Offsets[i] + next) / 2));
    }
    return forecast;
}

KvCacheForecast &KvCacheForecast::operator+=(const KvCacheForecast &other)
{
    for (std::size_t i = 0; i < Offsets.size(); ++i) {
        this->tokensByOffset[i] += other.tokensByOffset[i];
    }
    return *this;
}

KvCacheForecast &KvCacheForecast::operator-=(const KvCacheForecast &other)
{
    for (std::size_t i = 0; i < Offsets.size(); ++i) {
        this->tokensByOffset[i] -= other.tokensByOffset[i];
    }
    return *this;
}

KvCacheForecast &KvCacheForecast::operator*=(std::int64_t factor)
{
    for (std::int64_t &tokens : this->tokensByOffset) {
        tokens *= factor;
    }
    return *this;
}

std::int64_t KvCacheForecast::peakWith(const KvCacheForecast &other) const
{
    KvCacheForecast sum = *this;
    sum += other;
    return sum.peak();
}

std::int64_t KvCacheForecast::peak() const
{
    return *std::max_element(this->tokensByOffset.begin(), this->tokensByOffset.end());
}

const KvCacheForecast::Tokens &KvCacheForecast::tokens() const
{
    return this->tokensByOffset;
}

}
