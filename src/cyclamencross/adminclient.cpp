#include "adminclient.h"

#include "commanderrors.h"
#include "commandoptions.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/settings.h"
#include "cyclamencross/net/peerhttp.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

// Longer than an entry's own calls to the key-value service take until they time out.
constexpr Millis CallTimeout{10000};

EntryErrorReply toErrorReply(const HttpReply &reply)
{
    EntryErrorReply error{reply.status, "http-status", "status " + std::to_string(reply.status), reply.body};
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        error.type = body["error"].value("type", error.type);
        error.message = body["error"].value("message", error.message);
    }
    return error;
}

}

AdminClient::AdminClient(std::string address, std::string sharedKey)
    : address(std::move(address))
    , sharedKey(std::move(sharedKey))
{
}

boost::leaf::result<AdminClient> AdminClient::fromOptions(const CommandOptions &options, bool needsKey)
{
    Settings settings;
    if (options.has("settings")) {
        BOOST_LEAF_ASSIGN(settings, loadSettings(options.value("settings")));
    } else if (needsKey) {
        return boost::leaf::new_error(
            UsageError{"--settings FILE is required, because the request is signed with its shared key"});
    }
    const std::string address = options.has("entry") ? options.value("entry") : settings.adminAddress;
    if (!parseIpPort(address)) {
        return boost::leaf::new_error(UsageError{"--entry IP:PORT or --settings FILE is required"});
    }
    return AdminClient(address, settings.sharedKey);
}

boost::leaf::result<std::string> AdminClient::get(const std::string &path) const
{
    return this->send("GET", path, {});
}

boost::leaf::result<std::string> AdminClient::post(const std::string &path, const std::string &body) const
{
    return this->send("POST", path, body);
}

boost::leaf::result<std::string> AdminClient::send(const std::string &method, const std::string &path,
                                                   const std::string &body) const
{
    const HttpRequest request{method, path, {{"Content-Type", "application/json"}}, body};
    BOOST_LEAF_AUTO(reply, callPeer(this->address, request, this->sharedKey, CallTimeout));
    if (reply.status < 200 || reply.status > 299) {
        return boost::leaf::new_error(toErrorReply(reply));
    }
    return std::move(reply.body);
}

}
