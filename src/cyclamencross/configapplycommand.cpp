#include "adminclient.h"
#include "commanderrors.h"
#include "commandoptions.h"
#include "commands.h"
#include "configchange.h"
#include "environment.h"
#include "exitcode.h"
#include "runcommand.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/inifile.h"
#include "cyclamencross/base/number.h"
#include "cyclamencross/fleet/configtext.h"

#include <iostream>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

std::string fetchHistory(const AdminClient &client)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> { return client.get("/admin/config/history"); },
        [] { return std::string(); });
}

boost::leaf::result<int> apply(const AdminClient &client, const ConfigChange &change)
{
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(revision, submitChange(client, change));
            std::cout << "revision " << revision << " is stored, change " << change.changeId << "\n";
            return ExitOk;
        },
        [&](const EntryErrorResponse &response, const boost::leaf::error_info &info) -> boost::leaf::result<int> {
            if (response.status != 409) {
                // Returns the same error id: LEAF would lose a new error of the type that is being handled.
                return info.error();
            }
            std::cerr << describeConflict(change, response.body, fetchHistory(client))
                      << "Nothing was stored and your file is unchanged. Merge both changes into the output of `config "
                         "show` and apply that.\n";
            return ExitConflict;
        });
}

}

int configApplyCommand(int argc, const char *const *argv)
{
    CommandOptions options("config apply", "Store a new fleet configuration, unless it was changed since it was read.");
    options.positional("file", "the complete new configuration, edited from the output of `config show`")
        .withEntryOptions()
        .option("base", "REVISION", "revision that the change is based on; default: the revision in FILE")
        .option("author", "NAME", "who makes the change; default: $USER");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        ConfigChange change;
        BOOST_LEAF_ASSIGN(change.text, readTextFile(options.value("file")));
        BOOST_LEAF_AUTO(config, parseConfig(change.text, options.value("file")));
        const auto base = options.has("base") ? parseNumber(options.value("base")) : config.revision;
        if (!base) {
            return boost::leaf::new_error(UsageError{"--base takes a revision number"});
        }
        change.baseRevision = *base;
        change.changeId = toHex(randomNumber());
        change.author = options.has("author") ? options.value("author") : environmentValue("USER");
        if (change.author.empty()) {
            return boost::leaf::new_error(UsageError{"--author NAME is required"});
        }
        BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, true));
        return apply(client, change);
    });
}

}
