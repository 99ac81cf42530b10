#include "adminclient.h"
#include "commanderrors.h"
#include "commandoptions.h"
#include "commands.h"
#include "exitcode.h"
#include "jsonbody.h"
#include "runcommand.h"

#include "cyclamencross/base/inifile.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/decide/effectivedefaults.h"
#include "cyclamencross/fleet/configtext.h"

#include <iomanip>
#include <iostream>

namespace Cyclamen
{

namespace
{

boost::leaf::result<FleetConfig> readConfig(const CommandOptions &options)
{
    if (options.has("file")) {
        BOOST_LEAF_AUTO(content, readTextFile(options.value("file")));
        return parseConfig(content, options.value("file"));
    }
    BOOST_LEAF_AUTO(client, AdminClient::fromOptions(options, false));
    BOOST_LEAF_AUTO(body, client.get("/admin/config"));
    return parseConfig(stringMember(parseBody(body), "text"), "configuration in force");
}

void printSources(const std::vector<ValueSource> &sources)
{
    for (const ValueSource &source : sources) {
        std::cout << std::left << std::setw(26) << source.key << std::setw(10) << source.value << source.source;
        if (!source.reason.empty()) {
            std::cout << ", by " << source.author << ": " << source.reason;
        }
        std::cout << "\n";
    }
}

void printJson(const std::vector<ValueSource> &sources)
{
    Json values = Json::array();
    for (const ValueSource &source : sources) {
        values.push_back(Json{{"key", source.key},
                              {"value", source.value},
                              {"source", source.source},
                              {"reason", source.reason},
                              {"author", source.author}});
    }
    std::cout << Json{{"values", values}}.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
}

}

int configExplainCommand(int argc, const char *const *argv)
{
    CommandOptions options("config explain", "Print each effective value and where it comes from.");
    options.withEntryOptions()
        .option("workspace", "NAME", "values for this workspace")
        .option("model", "NAME", "values for this model")
        .option("zone", "NAME", "values in this availability zone")
        .option("backend", "IP:PORT", "values for this backend server")
        .option("file", "FILE", "explain this fleet configuration instead of the one in force")
        .flag("json", "print JSON");
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    return runCommand([&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(config, readConfig(options));
        const ConfigSubject subject{options.value("workspace"), options.value("model"), options.value("zone"),
                                    options.value("backend")};
        const auto sources = explainDefaults(config, subject, unixSeconds());
        if (options.has("json")) {
            printJson(sources);
        } else {
            printSources(sources);
        }
        return ExitOk;
    });
}

}
