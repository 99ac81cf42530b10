#include "streamcheck.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

StreamCheck::StreamCheck(std::string requestId)
    : requestId(std::move(requestId))
{
}

std::optional<std::string> StreamCheck::take(std::string_view data)
{
    if (!this->wrong.empty()) {
        return std::nullopt;
    }
    if (this->ended) {
        this->wrong = "event after the end mark";
        return std::nullopt;
    }
    if (data == "[DONE]") {
        this->ended = true;
        return std::nullopt;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("request_id") || !event["request_id"].is_string()
        || !event.contains("index") || !event["index"].is_number_unsigned() || !event.contains("text")
        || !event["text"].is_string()) {
        this->wrong = "malformed event";
        return std::nullopt;
    }
    if (event["request_id"].get<std::string>() != this->requestId) {
        this->wrong = "event of another request";
        return std::nullopt;
    }
    const auto index = event["index"].get<std::uint64_t>();
    if (this->resumed && index < this->next) {
        return std::nullopt;
    }
    if (index != this->next) {
        this->wrong = "index " + std::to_string(index) + " instead of " + std::to_string(this->next);
        return std::nullopt;
    }
    ++this->next;
    return event["text"].get<std::string>();
}

const std::string &StreamCheck::violation() const
{
    return this->wrong;
}

bool StreamCheck::complete() const
{
    return this->ended && this->wrong.empty();
}

std::uint64_t StreamCheck::nextIndex() const
{
    return this->next;
}

void StreamCheck::resume()
{
    this->wrong.clear();
    this->ended = false;
    this->resumed = true;
}

}
