#include "configstore.h"

#include "cyclamencross/base/logline.h"

namespace Cyclamen
{

ConfigStore::ConfigStore(Observer observer)
    : observer(std::move(observer))
{
}

bool ConfigStore::accept(FleetConfig config)
{
    const std::scoped_lock lock(this->mutex);
    if (config.revision <= this->config->revision) {
        if (config.revision == this->config->revision && config.changeId != this->config->changeId) {
            LogLine("config-revision-differs")
                .add("revision", config.revision)
                .add("kept", this->config->changeId)
                .add("refused", config.changeId)
                .error();
        }
        return false;
    }
    this->config = std::make_shared<const FleetConfig>(std::move(config));
    LogLine("config-accepted")
        .add("revision", this->config->revision)
        .add("change", this->config->changeId)
        .add("author", this->config->author)
        .write();
    // Called under the lock, so that the observer sees the revisions in order.
    this->observer(this->config);
    return true;
}

std::shared_ptr<const FleetConfig> ConfigStore::current() const
{
    const std::scoped_lock lock(this->mutex);
    return this->config;
}

}
