#pragma once

#include "errorreply.h"
#include "modelrequest.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Formats a model's output as completion or chat completion JSON.
class CompletionFormatter
{
public:
    /// @param created creation time of the response in Unix seconds.
    CompletionFormatter(const ModelRequest &request, std::string requestId, std::int64_t created);

    /// Returns the stream event for @p text.
    std::string chunkEvent(const std::string &text) const;
    /// Returns the event that ends a complete stream.
    std::string endEvent() const;
    /// Returns the event that reports a failure. The end marker must not follow it.
    std::string errorEvent(const CallerError &error) const;
    /// Returns the body of a non-streaming response.
    std::string fullResponse(const std::string &text, std::uint64_t outputTokens) const;

private:
    bool chat;
    std::string model;
    std::uint64_t promptTokens;
    std::string requestId;
    std::int64_t created;
};

}
