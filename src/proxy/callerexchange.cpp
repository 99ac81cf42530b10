#include "callerexchange.h"

#include "callerconnection.h"

#include <array>
#include <charconv>

namespace Cyclamen
{

CallerExchange::CallerExchange(CallerRequest request, CallerConnection *connection)
    : callerRequest(std::move(request))
    , connection(connection)
{
}

const CallerRequest &CallerExchange::request() const
{
    return this->callerRequest;
}

CancelSignal &CallerExchange::cancelSignal()
{
    return this->cancel;
}

void CallerExchange::reply(HttpReply reply)
{
    this->storedReply = std::move(reply);
}

bool CallerExchange::startStream(const std::map<std::string, std::string> &headers)
{
    // The status is known only when the engine's first event arrives, but cpp-httplib writes the status before it asks
    // for content. Therefore the handler writes the response itself.
    this->streaming = true;
    this->connection->bypassLibraryWrites();
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    return this->connection->send(head + "\r\n");
}

bool CallerExchange::write(std::string_view data)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(data).append("\r\n");
    return this->connection->send(chunk);
}

void CallerExchange::endStream()
{
    this->connection->send("0\r\n\r\n");
}

void CallerExchange::abortStream()
{
    this->connection->closeAfterRequest();
}

bool CallerExchange::streamStarted() const
{
    return this->streaming;
}

const std::optional<HttpReply> &CallerExchange::fullReply() const
{
    return this->storedReply;
}

}
