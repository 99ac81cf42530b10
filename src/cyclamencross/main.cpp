#include "entryprocess.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"

#include <iostream>
#include <string>

#include <boost/leaf/handle_errors.hpp>

int main(int argc, char **argv)
{
    using namespace Cyclamen;
    setUpLogging("cyclamencross");
    if (argc < 3 || std::string(argv[1]) != "entry") {
        std::cerr << "usage: cyclamencross entry SETTINGS\n";
        return 2;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(argv[2]));
            return runEntry(settings);
        },
        [](const InvalidSetting &fault) {
            LogLine("invalid-setting")
                .add("file", fault.file)
                .add("line", fault.line)
                .add("key", fault.key)
                .add("expected", fault.expected)
                .error();
            return 2;
        },
        [] { return 2; });
}
