#include "streamvalidator.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

StreamValidator::StreamValidator(std::string requestId)
    : requestId(std::move(requestId))
{
}

std::optional<std::string> StreamValidator::accept(std::string_view data)
{
    if (!this->violationDetail.empty()) {
        return std::nullopt;
    }
    if (this->endReceived) {
        this->violationDetail = "event after the end marker";
        return std::nullopt;
    }
    if (data == "[DONE]") {
        this->endReceived = true;
        return std::nullopt;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("request_id") || !event["request_id"].is_string()
        || !event.contains("index") || !event["index"].is_number_unsigned() || !event.contains("text")
        || !event["text"].is_string()) {
        this->violationDetail = "malformed event";
        return std::nullopt;
    }
    if (event["request_id"].get<std::string>() != this->requestId) {
        this->violationDetail = "event of another request";
        return std::nullopt;
    }
    const auto index = event["index"].get<std::uint64_t>();
    if (this->resumed && index < this->nextEventIndex) {
        return std::nullopt;
    }
    if (index != this->nextEventIndex) {
        this->violationDetail =
            "index " + std::to_string(index) + " instead of " + std::to_string(this->nextEventIndex);
        return std::nullopt;
    }
    ++this->nextEventIndex;
    return event["text"].get<std::string>();
}

const std::string &StreamValidator::violation() const
{
    return this->violationDetail;
}

bool StreamValidator::complete() const
{
    return this->endReceived && this->violationDetail.empty();
}

std::uint64_t StreamValidator::nextIndex() const
{
    return this->nextEventIndex;
}

void StreamValidator::resume()
{
    this->violationDetail.clear();
    this->endReceived = false;
    this->resumed = true;
}

}
