#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpreply.h"
#include "cyclamencross/net/httprequest.h"

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Sends one signed request to an admin port on a new connection. Never retries. Blocks.
/// @param address "IP:PORT".
/// @param sharedKey key of the keyed hash in the `Peer-Signature` header.
/// @param timeout limit on connecting, and on each wait for data afterwards.
/// @return the response; or ConnectFailed if nothing was sent; or ExchangeBroken if the request may have been sent.
boost::leaf::result<HttpReply> callPeer(const std::string &address, const HttpRequest &request,
                                        const std::string &sharedKey, Millis timeout);

/// Returns the `Peer-Signature` header value of @p request, signed at @p unixTime with the random @p nonce.
std::string signRequest(const HttpRequest &request, const std::string &sharedKey, std::int64_t unixTime,
                        const std::string &nonce);

/// Checks the signature of @p request.
/// @param now the current time in Unix seconds.
/// @return whether it is authentic and its time is at most 30 s from @p now.
bool isAuthentic(const HttpRequest &request, const std::string &sharedKey, std::int64_t now);

}
