#include "keyvaluehttp.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/processmetrics.h"

#include <mutex>
#include <semaphore>
#include <vector>

#include <boost/leaf/error.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

// The gRPC status code NOT_FOUND, which the service's JSON gateway puts into the response body.
constexpr int GrpcNotFound = 5;

bool isLeaseNotFound(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && json.contains("code") && json["code"] == GrpcNotFound
        && body.find("lease") != std::string::npos;
}

}

struct KeyValueHttp::Impl
{
    std::unique_ptr<httplib::Client> acquireClient()
    {
        {
            const std::scoped_lock lock(this->mutex);
            if (!this->idleClients.empty()) {
                auto client = std::move(this->idleClients.back());
                this->idleClients.pop_back();
                return client;
            }
        }
        const auto address = parseIpPort(this->settings.keyValueAddress).value_or(IpPort{"0.0.0.0", 0});
        auto client = std::make_unique<httplib::Client>(address.ip, address.port);
        client->set_connection_timeout(this->settings.connectTimeout);
        client->set_read_timeout(this->settings.keyValueTimeout);
        client->set_write_timeout(this->settings.keyValueTimeout);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    Settings settings;
    std::counting_semaphore<MaxConcurrentCalls> callSlots{MaxConcurrentCalls};
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idleClients;
};

KeyValueHttp::KeyValueHttp(const Settings &settings)
    : impl(std::make_unique<Impl>())
{
    this->impl->settings = settings;
}

KeyValueHttp::~KeyValueHttp() = default;

boost::leaf::result<std::string> KeyValueHttp::call(const std::string &path, const std::string &body)
{
    if (!this->impl->callSlots.try_acquire_for(this->impl->settings.keyValueTimeout)) {
        return boost::leaf::new_error(KeyValueUnavailable{"too many calls in flight"});
    }
    auto client = this->impl->acquireClient();
    const httplib::Result result = client->Post(path, body, "application/json");
    if (result) {
        const std::scoped_lock lock(this->impl->mutex);
        this->impl->idleClients.push_back(std::move(client));
    }
    this->impl->callSlots.release();
    if (result || result.error() != httplib::Error::Connection) {
        addControlBytesSent(body.size());
    }
    if (!result) {
        return boost::leaf::new_error(KeyValueUnavailable{httplib::to_string(result.error())});
    }
    addControlBytesReceived(result->body.size());
    if (result->status == 200) {
        return result->body;
    }
    if (isLeaseNotFound(result->body)) {
        return boost::leaf::new_error(LeaseNotFound());
    }
    return boost::leaf::new_error(KeyValueUnavailable{"status " + std::to_string(result->status)});
}

}
