// The settings file of a router (INI).

#include "check.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/gateway/routersettings.h"

#include <string>

#include <sys/mman.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>

using namespace Cyclamen;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static const int file = memfd_create("settings", 0);
    static const std::string path = "/proc/self/fd/" + std::to_string(file);
    check(file >= 0 && ftruncate(file, 0) == 0, "the file can be emptied");
    check(pwrite(file, data, size, 0) == ssize_t(size), "the file can be written");
    boost::leaf::try_handle_all(
        []() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(settings, loadRouterSettings(path));
            check(!settings.name.empty(), "settings that are accepted have a name");
            check(settings.bodyMemoryBytes() < (settings.memoryMiB << 20U), "bodies take a part of the memory");
            return {};
        },
        [](const InvalidSetting &invalid) { check(!invalid.expected.empty(), "an error says what was expected"); },
        [] { check(false, "each error is an InvalidSetting"); });
    return 0;
}
