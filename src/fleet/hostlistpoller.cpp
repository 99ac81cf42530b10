#include "hostlistpoller.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/logline.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace Cyclamen
{

struct HostListPoller::Impl
{
    void run();
    std::optional<HostList> read(httplib::Client &client);

    Settings settings;
    Receiver receiver;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    bool failing = false;
    // Kept for conditional requests: a platform that sends ETags does not transfer an unchanged list of thousands of
    // hosts again.
    std::optional<HostList> lastList;
    std::string lastTag;
    std::thread thread;
};

HostListPoller::HostListPoller(const Settings &settings, Receiver receiver)
    : impl(std::make_unique<Impl>())
{
    this->impl->settings = settings;
    this->impl->receiver = std::move(receiver);
    this->impl->thread = std::thread([this] { this->impl->run(); });
}

HostListPoller::~HostListPoller()
{
    {
        const std::scoped_lock lock(this->impl->mutex);
        this->impl->stopping = true;
    }
    this->impl->stopped.notify_all();
    this->impl->thread.join();
}

void HostListPoller::Impl::run()
{
    const auto address = parseIpPort(this->settings.hostListAddress);
    if (!address) {
        LogLine("host-list-address-invalid").add("address", this->settings.hostListAddress).error();
        return;
    }
    httplib::Client client(address->ip, address->port);
    client.set_connection_timeout(this->settings.connectTimeout);
    client.set_read_timeout(this->settings.keyValueTimeout);
    client.set_keep_alive(true);
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        if (const auto list = this->read(client)) {
            this->receiver(*list);
        }
        lock.lock();
        this->stopped.wait_for(lock, this->settings.hostListPeriod, [this] { return this->stopping; });
    }
}

std::optional<HostList> HostListPoller::Impl::read(httplib::Client &client)
{
    httplib::Headers headers;
    if (this->lastList && !this->lastTag.empty()) {
        headers.emplace("If-None-Match", this->lastTag);
    }
    const auto response = client.Get("/v1/hosts", headers);
    std::optional<HostList> list;
    if (response && response->status == 304) {
        list = this->lastList;
    } else if (response && response->status == 200) {
        list = parseHostList(response->body);
        this->lastList = list;
        this->lastTag = response->get_header_value("ETag");
    }
    // Logged only when the result changes, since an outage of the platform would fill the log otherwise.
    if (list.has_value() == this->failing) {
        this->failing = !list.has_value();
        LogLine(this->failing ? "host-list-unreadable" : "host-list-readable")
            .add("address", this->settings.hostListAddress)
            .write();
    }
    return list;
}

}
