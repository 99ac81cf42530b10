#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

/// Collects the log lines that explain what happened to one request: its own ones from all processes, and what the same
/// processes learned meanwhile of the backend servers that it was sent to.
class RequestStory
{
public:
    /// How long before the first line of the request a change of one of its backend servers counts, in milliseconds: as
    /// long as a registration without its owner stays.
    static constexpr std::int64_t LeadMillis = 5000;

    explicit RequestStory(std::string requestId);

    /// Reads log lines as the processes write them; anything before the JSON object of a line is passed over.
    void read(std::istream &input);
    /// Returns the lines in the order of time, one a string: time, process, event, fields.
    std::vector<std::string> lines() const;
    /// Returns how many lines looked like log lines but were none.
    std::uint64_t malformedLines() const;

private:
    std::string requestId;
    std::vector<nlohmann::json> own;
    std::vector<nlohmann::json> context; ///< Lines that name a backend server but no request, and stops.
    std::uint64_t malformed = 0;

    bool isRelevant(const nlohmann::json &line) const;
};

}
