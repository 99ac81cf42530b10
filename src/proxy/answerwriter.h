#pragma once

#include "errorreply.h"
#include "modelrequest.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Puts a model's output into the callers' JSON forms.
class AnswerWriter
{
public:
    AnswerWriter(const ModelRequest &request, std::string requestId, std::int64_t created);

    /// Returns the stream event for @p text.
    std::string chunk(const std::string &text) const;
    /// Returns the last stream events of a complete answer.
    std::string streamEnd() const;
    /// Returns the stream event that reports a failure; no end mark follows it.
    std::string streamError(const CallerError &error) const;
    /// Returns the whole answer.
    std::string whole(const std::string &text, std::uint64_t outputTokens) const;

private:
    bool chat;
    std::string model;
    std::uint64_t promptTokens;
    std::string requestId;
    std::int64_t created;
};

}
