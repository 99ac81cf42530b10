#include "containmentcodec.h"

#include "cyclamencross/route/crashattribution.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

using std::chrono::duration_cast;
using std::chrono::seconds;

std::string encodeContainments(const std::map<std::string, Containment> &containments, TimePoint now,
                               std::int64_t unixNow)
{
    nlohmann::json suspects = nlohmann::json::object();
    for (const auto &[suspect, containment] : containments) {
        suspects[suspect] = {
            {"crashed_at", unixNow - duration_cast<seconds>(now - containment.crashedAt).count()},
            {"period_s", duration_cast<seconds>(containment.period).count()},
            {"output_ms", containment.outputTime.count()},
        };
    }
    // Suspects come from callers and may contain any bytes.
    return nlohmann::json{{"suspects", suspects}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::map<std::string, Containment>> decodeContainments(const std::string &text, TimePoint now,
                                                                     std::int64_t unixNow)
{
    const auto record = nlohmann::json::parse(text, nullptr, false);
    const auto suspects = record.is_object() ? record.find("suspects") : record.end();
    if (!record.is_object() || suspects == record.end() || !suspects->is_object()) {
        return std::nullopt;
    }
    std::map<std::string, Containment> containments;
    for (const auto &[suspect, stored] : suspects->items()) {
        if (!stored.is_object() || !stored.contains("crashed_at") || !stored["crashed_at"].is_number_integer()
            || !stored.contains("period_s") || !stored["period_s"].is_number_integer()) {
            return std::nullopt;
        }
        constexpr std::int64_t maxSeconds = duration_cast<seconds>(CrashAttribution::MaxPeriod).count();
        const std::int64_t period = std::clamp<std::int64_t>(stored["period_s"].get<std::int64_t>(), 0, maxSeconds);
        const std::int64_t crashedAt = stored["crashed_at"].get<std::int64_t>();
        // The comparison avoids an overflow of the difference.
        const std::int64_t age = crashedAt >= unixNow ? 0
            : crashedAt <= unixNow - period           ? period
                                                      : unixNow - crashedAt;
        // Earlier builds do not write it.
        const auto output = stored.value("output_ms", nlohmann::json(0));
        const std::int64_t outputMillis = output.is_number_integer() ? output.get<std::int64_t>() : 0;
        containments[suspect] =
            Containment{now - seconds(age), seconds(period), TimePoint(),
                        std::clamp(Millis(outputMillis), Millis(0), CrashAttribution::CrashLifetime)};
    }
    return containments;
}

}
