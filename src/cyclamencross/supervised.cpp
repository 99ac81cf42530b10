#include "supervised.h"

#include "exitcode.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"

#include <exception>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>

namespace Cyclamen
{

int runSupervised(const std::function<boost::leaf::result<int>()> &run)
{
    return boost::leaf::try_handle_all(
        run,
        [](const InvalidSetting &fault) {
            LogLine("invalid-setting")
                .add("file", fault.file)
                .add("line", fault.line)
                .add("key", fault.key)
                .add("expected", fault.expected)
                .error();
            return int(ExitUsage);
        },
        [](boost::leaf::catch_<std::exception> fault) {
            LogLine("process-failed").add("detail", fault.matched.what()).error();
            return int(ExitFailed);
        },
        [] {
            LogLine("process-failed").error();
            return int(ExitFailed);
        });
}

}
