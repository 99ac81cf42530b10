#include "eventreader.h"

#include "prompttag.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

std::string eventText(const nlohmann::json &event)
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
        return event.value("text", std::string());
    }
    const nlohmann::json &choice = choices->front();
    const auto delta = choice.find("delta");
    return delta != choice.end() ? delta->value("content", std::string()) : choice.value("text", std::string());
}

}

EventReader::EventReader(std::string tag)
    : tag(std::move(tag))
{
}

void EventReader::feed(std::string_view data)
{
    this->pending += data;
    std::size_t begin = 0;
    for (std::size_t end = this->pending.find('\n'); end != std::string::npos; end = this->pending.find('\n', begin)) {
        std::string_view line = std::string_view(this->pending).substr(begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with("data: ")) {
            this->readEvent(line.substr(6));
        }
    }
    this->pending.erase(0, begin);
}

void EventReader::readEvent(std::string_view data)
{
    if (data == "[DONE]") {
        this->isEnded = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object()) {
        this->isWrong = true;
        return;
    }
    if (event.contains("error")) {
        const nlohmann::json &error = event["error"];
        this->failureOutcome = error.is_object() ? error.value("outcome", std::string("failed")) : "failed";
        return;
    }
    const std::string output = eventText(event);
    if (output.empty()) {
        return; // The last event of a completion may contain only the finish reason.
    }
    this->isWrong = this->isWrong || this->isEnded || output != outputText(this->tag, this->outputCount);
    this->lastOutputTime = Clock::now();
    this->firstOutputTime = this->outputCount == 0 ? this->lastOutputTime : this->firstOutputTime;
    ++this->outputCount;
}

int EventReader::outputs() const
{
    return this->outputCount;
}

bool EventReader::ended() const
{
    return this->isEnded;
}

bool EventReader::wrong() const
{
    return this->isWrong;
}

const std::string &EventReader::failure() const
{
    return this->failureOutcome;
}

TimePoint EventReader::firstOutput() const
{
    return this->firstOutputTime;
}

TimePoint EventReader::lastOutput() const
{
    return this->lastOutputTime;
}

}
