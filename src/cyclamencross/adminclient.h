#pragma once

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class CommandOptions;

/// Talks to the admin port of one entry. A request is sent once and never repeated.
class AdminClient
{
public:
    /// @param sharedKey may be empty if only open routes are read.
    AdminClient(std::string address, std::string sharedKey);

    /// Reads the options --entry and --settings.
    /// @param needsKey whether the command uses a signed route, so that --settings must be there.
    /// @return the client, UsageFault or InvalidSetting.
    static boost::leaf::result<AdminClient> fromOptions(const CommandOptions &options, bool needsKey);

    /// Sends a GET.
    /// @return the body; EntryRefusal for an error status, ConnectFailed or ExchangeBroken.
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
