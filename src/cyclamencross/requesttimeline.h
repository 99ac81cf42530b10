#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Collects the log lines that explain what happened to one request: the lines of the request itself from all
/// processes, and lines of the same processes about the backend servers that the request was sent to and about their
/// own stop.
class RequestTimeline
{
public:
    /// Lines about backend servers and stops are included from this time before the first line of the request, in
    /// milliseconds: as long as a registration is kept after its owner has gone.
    static constexpr std::int64_t ContextLeadMillis = 5000;

    explicit RequestTimeline(std::string requestId);

    /// Reads log lines as the processes write them. Text before the JSON object of a line, such as a prefix added by a
    /// log collector, is ignored.
    void read(std::istream &input);
    /// Returns the lines sorted by time. Each has the time in milliseconds since the Unix epoch, process, event and
    /// fields.
    std::vector<std::string> lines() const;
    /// Returns the number of lines that started a JSON object but could not be parsed.
    std::uint64_t malformedLines() const;

private:
    std::string requestId;
    std::vector<nlohmann::json> requestLines;
    /// Lines that belong to no request and name a backend server or report the start of a stop.
    std::vector<nlohmann::json> contextLines;
    std::uint64_t malformedCount = 0;

    bool isRelevant(const nlohmann::json &line) const;
};

}
