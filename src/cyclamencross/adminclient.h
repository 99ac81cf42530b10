#pragma once

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class CommandOptions;

/// Sends requests to the admin port of one entry. Each request is sent once and never retried.
class AdminClient
{
public:
    /// @param sharedKey signs requests; may be empty if only open routes are used.
    AdminClient(std::string address, std::string sharedKey);

    /// Creates a client from the options --entry and --settings.
    /// @param needsKey whether the command uses a signed route, which makes --settings mandatory.
    /// @return the client, or UsageError or InvalidSetting.
    static boost::leaf::result<AdminClient> fromOptions(const CommandOptions &options, bool needsKey);

    /// Sends a GET.
    /// @return the body, or EntryErrorReply for a status outside 2xx, ConnectFailed or ExchangeBroken.
    boost::leaf::result<std::string> get(const std::string &path) const;
    /// Sends a signed POST with a JSON body.
    /// @return as get().
    boost::leaf::result<std::string> post(const std::string &path, const std::string &body) const;

private:
    boost::leaf::result<std::string> send(const std::string &method, const std::string &path,
                                          const std::string &body) const;

    std::string address;
    std::string sharedKey;
};

}
