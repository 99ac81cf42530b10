#include "commandoptions.h"
#include "commands.h"
#include "entryprocess.h"
#include "exitcode.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"

#include <system_error>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>

namespace Cyclamen
{

int entryCommand(int count, const char *const *arguments)
{
    CommandOptions options("entry", "Run the entry process until SIGTERM, which drains it.");
    options.positional("settings", "settings file of this entry");
    if (const auto code = options.parse(count, arguments)) {
        return *code;
    }
    // A process under supervision reports to its log, so failures are log lines here.
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(options.value("settings")));
            logToStandardOutput();
            return runEntry(settings);
        },
        [](const InvalidSetting &fault) {
            LogLine("invalid-setting")
                .add("file", fault.file)
                .add("line", fault.line)
                .add("key", fault.key)
                .add("expected", fault.expected)
                .error();
            return int(ExitUsage);
        },
        [](boost::leaf::catch_<std::system_error> fault) {
            LogLine("entry-failed").add("detail", fault.matched.what()).error();
            return int(ExitFailed);
        },
        [] {
            LogLine("entry-failed").error();
            return int(ExitFailed);
        });
}

}
