#include "cyclamencross/base/settings.h"

#include "cyclamencross/base/failures.h"

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

boost::leaf::result<Settings> loadSettings(const std::string &path)
{
    return boost::leaf::new_error(InvalidSetting{path, 0, "", "a readable file"});
}

}
