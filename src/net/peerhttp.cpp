#include "cyclamencross/net/peerhttp.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/processmetrics.h"
#include "cyclamencross/net/responsehead.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include <boost/leaf/error.hpp>
#include <httplib.h>
#include <sodium.h>

namespace Cyclamen
{

namespace
{

constexpr std::int64_t SignatureLifetimeSeconds = 30;
constexpr auto SignatureHeader = "Peer-Signature";

bool equalsIgnoringCase(const std::string &a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

const std::string *findSignature(const HttpRequest &request)
{
    for (const auto &[name, value] : request.headers) {
        if (equalsIgnoringCase(name, SignatureHeader)) {
            return &value;
        }
    }
    return nullptr;
}

std::optional<std::int64_t> parseTime(std::string_view text)
{
    std::int64_t number = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

}

boost::leaf::result<HttpResponse> callPeer(const std::string &address, const HttpRequest &request,
                                           const std::string &sharedKey, Millis timeout)
{
    const auto target = parseIpPort(address);
    if (!target) {
        return boost::leaf::new_error(ConnectFailed{address});
    }
    httplib::Client client(target->ip, target->port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_keep_alive(false);
    client.set_follow_location(false);
    // The signature covers the request target, so it must be sent unchanged.
    client.set_url_encode(false);

    httplib::Request outgoing;
    outgoing.method = request.method;
    outgoing.path = request.path;
    outgoing.body = request.body;
    for (const auto &[name, value] : request.headers) {
        outgoing.set_header(name, value);
    }
    outgoing.set_header(SignatureHeader, signRequest(request, sharedKey, unixSeconds(), toHex(randomNumber())));
    const httplib::Result result = client.send(outgoing);
    if (!result) {
        // These two errors occur only while connecting, before any byte of the request is sent.
        if (result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout) {
            return boost::leaf::new_error(ConnectFailed{address});
        }
        addControlBytesSent(request.body.size());
        return boost::leaf::new_error(ExchangeFailed{address, httplib::to_string(result.error())});
    }
    addControlBytesSent(request.body.size());
    addControlBytesReceived(result->body.size());
    if (!isValidResponseHead(*result)) {
        return boost::leaf::new_error(ExchangeFailed{address, "malformed head"});
    }
    HttpResponse response{result->status, {}, result->body};
    for (const auto &[name, value] : result->headers) {
        response.headers.emplace(name, value);
    }
    return response;
}

std::string signRequest(const HttpRequest &request, const std::string &sharedKey, std::int64_t unixTime,
                        const std::string &nonce)
{
    const std::string prefix = std::to_string(unixTime) + "." + nonce;
    const std::string content = prefix + "\n" + request.method + "\n" + request.path + "\n" + request.body;
    return prefix + "." + keyedHash(content, sharedKey);
}

bool isAuthentic(const HttpRequest &request, const std::string &sharedKey, std::int64_t now)
{
    const std::string *signature = findSignature(request);
    if (signature == nullptr) {
        return false;
    }
    const std::size_t first = signature->find('.');
    const std::size_t last = signature->rfind('.');
    if (first == std::string::npos || first == last) {
        return false;
    }
    const auto time = parseTime(std::string_view(*signature).substr(0, first));
    // The peer's clock may be ahead of the local one, but a signature dated further in the future would stay valid too
    // long.
    if (!time || std::abs(now - *time) > SignatureLifetimeSeconds) {
        return false;
    }
    const std::string expected = signRequest(request, sharedKey, *time, signature->substr(first + 1, last - first - 1));
    return expected.size() == signature->size()
        && sodium_memcmp(expected.data(), signature->data(), expected.size()) == 0;
}

}
