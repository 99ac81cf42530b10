#include "requesttimeline.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

std::string stringField(const nlohmann::json &line, const char *field)
{
    const auto it = line.find(field);
    return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t timeMillis(const nlohmann::json &line)
{
    const auto it = line.find("time_ms");
    return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

std::string format(const nlohmann::json &line)
{
    std::string text =
        std::to_string(timeMillis(line)) + " " + stringField(line, "process") + " " + stringField(line, "event");
    for (const auto &[name, value] : line.items()) {
        if (name != "time_ms" && name != "process" && name != "event" && name != "level") {
            text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

}

RequestTimeline::RequestTimeline(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestTimeline::read(std::istream &input)
{
    std::string text;
    while (std::getline(input, text)) {
        const auto begin = text.find("{\"");
        if (begin == std::string::npos) {
            continue;
        }
        auto line = nlohmann::json::parse(text.begin() + std::ptrdiff_t(begin), text.end(), nullptr, false);
        if (!line.is_object()) {
            ++this->malformedCount;
            continue;
        }
        const std::string id = stringField(line, "request");
        if (id == this->requestId) {
            this->requestLines.push_back(std::move(line));
        } else if (id.empty() && (line.contains("backend") || stringField(line, "event") == "stop-begun")) {
            this->contextLines.push_back(std::move(line));
        }
    }
}

bool RequestTimeline::isRelevant(const nlohmann::json &line) const
{
    const std::string process = stringField(line, "process");
    const std::string backend = stringField(line, "backend");
    std::int64_t first = 0;
    std::int64_t last = 0;
    bool backendMatches = backend.empty();
    for (const nlohmann::json &requestLine : this->requestLines) {
        if (stringField(requestLine, "process") != process) {
            continue;
        }
        first = first == 0 ? timeMillis(requestLine) : std::min(first, timeMillis(requestLine));
        last = std::max(last, timeMillis(requestLine));
        backendMatches = backendMatches || stringField(requestLine, "backend") == backend;
    }
    return backendMatches && first > 0 && timeMillis(line) >= first - ContextLeadMillis && timeMillis(line) <= last;
}

std::vector<std::string> RequestTimeline::lines() const
{
    std::vector<nlohmann::json> selected = this->requestLines;
    std::copy_if(this->contextLines.begin(), this->contextLines.end(), std::back_inserter(selected),
                 [this](const nlohmann::json &line) { return this->isRelevant(line); });
    std::stable_sort(selected.begin(), selected.end(),
                     [](const nlohmann::json &a, const nlohmann::json &b) { return timeMillis(a) < timeMillis(b); });
    std::vector<std::string> result;
    std::transform(selected.begin(), selected.end(), std::back_inserter(result), format);
    return result;
}

std::uint64_t RequestTimeline::malformedLines() const
{
    return this->malformedCount;
}

}
