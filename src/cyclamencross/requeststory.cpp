#include "requeststory.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

std::string textOf(const nlohmann::json &line, const char *field)
{
    const auto it = line.find(field);
    return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t timeOf(const nlohmann::json &line)
{
    const auto it = line.find("time_ms");
    return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

std::string format(const nlohmann::json &line)
{
    std::string text = std::to_string(timeOf(line)) + " " + textOf(line, "process") + " " + textOf(line, "event");
    for (const auto &[name, value] : line.items()) {
        if (name != "time_ms" && name != "process" && name != "event" && name != "level") {
            text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

}

RequestStory::RequestStory(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestStory::read(std::istream &input)
{
    std::string text;
    while (std::getline(input, text)) {
        const auto begin = text.find("{\"");
        if (begin == std::string::npos) {
            continue;
        }
        auto line = nlohmann::json::parse(text.begin() + std::ptrdiff_t(begin), text.end(), nullptr, false);
        if (!line.is_object()) {
            ++this->malformed;
            continue;
        }
        const std::string id = textOf(line, "request");
        if (id == this->requestId) {
            this->own.push_back(std::move(line));
        } else if (id.empty() && (line.contains("backend") || textOf(line, "event") == "stop-begun")) {
            this->context.push_back(std::move(line));
        }
    }
}

bool RequestStory::isRelevant(const nlohmann::json &line) const
{
    const std::string process = textOf(line, "process");
    const std::string backend = textOf(line, "backend");
    std::int64_t first = 0;
    std::int64_t last = 0;
    bool known = backend.empty();
    for (const nlohmann::json &mine : this->own) {
        if (textOf(mine, "process") != process) {
            continue;
        }
        first = first == 0 ? timeOf(mine) : std::min(first, timeOf(mine));
        last = std::max(last, timeOf(mine));
        known = known || textOf(mine, "backend") == backend;
    }
    return known && first > 0 && timeOf(line) >= first - LeadMillis && timeOf(line) <= last;
}

std::vector<std::string> RequestStory::lines() const
{
    std::vector<nlohmann::json> chosen = this->own;
    std::copy_if(this->context.begin(), this->context.end(), std::back_inserter(chosen),
                 [this](const nlohmann::json &line) { return this->isRelevant(line); });
    std::stable_sort(chosen.begin(), chosen.end(), [](const nlohmann::json &left, const nlohmann::json &right) {
        return timeOf(left) < timeOf(right);
    });
    std::vector<std::string> result;
    std::transform(chosen.begin(), chosen.end(), std::back_inserter(result), format);
    return result;
}

std::uint64_t RequestStory::malformedLines() const
{
    return this->malformed;
}

}
