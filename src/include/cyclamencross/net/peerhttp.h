#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpreply.h"
#include "cyclamencross/net/httprequest.h"

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Sends one signed request to an admin port on a fresh connection and never repeats it.
/// @param address "IP:PORT".
/// @param sharedKey key of the keyed hash in the `Peer-Signature` header.
/// @param timeout bound for connecting and for silence afterwards.
/// @return the reply, or ConnectFailed (no byte has left) or ExchangeBroken (bytes may have left).
boost::leaf::result<HttpReply> callPeer(const std::string &address, const HttpRequest &request,
                                        const std::string &sharedKey, Millis timeout);

/// Returns the `Peer-Signature` value for @p request made at @p unixTime with the random @p nonce.
std::string signRequest(const HttpRequest &request, const std::string &sharedKey, std::int64_t unixTime,
                        const std::string &nonce);

/// Checks the signature of @p request.
/// @return whether it is authentic and no older than 30 s.
bool isAuthentic(const HttpRequest &request, const std::string &sharedKey, std::int64_t now);

}
