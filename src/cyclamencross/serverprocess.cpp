#include "serverprocess.h"

#include "exitcode.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"

#include <exception>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>

namespace Cyclamen
{

int runServerProcess(const std::function<boost::leaf::result<int>()> &run)
{
    return boost::leaf::try_handle_all(
        run,
        [](const InvalidSetting &error) {
            LogLine("invalid-setting")
                .add("file", error.file)
                .add("line", error.line)
                .add("key", error.key)
                .add("expected", error.expected)
                .error();
            return int(ExitUsage);
        },
        [](boost::leaf::catch_<std::exception> error) {
            LogLine("process-failed").add("detail", error.matched.what()).error();
            return int(ExitFailed);
        },
        [] {
            LogLine("process-failed").error();
            return int(ExitFailed);
        });
}

}
