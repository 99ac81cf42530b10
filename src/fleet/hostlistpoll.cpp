#include "hostlistpoll.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/logline.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace Cyclamen
{

struct HostListPoll::Members
{
    void run();
    std::optional<HostList> read(httplib::Client &client);

    Settings settings;
    Receiver receiver;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    bool failing = false;
    // A list of thousands of backend servers is not sent again while it is unchanged, if the platform tags its lists.
    std::optional<HostList> last;
    std::string lastTag;
    std::thread thread;
};

HostListPoll::HostListPoll(const Settings &settings, Receiver receiver)
    : members(std::make_unique<Members>())
{
    this->members->settings = settings;
    this->members->receiver = std::move(receiver);
    this->members->thread = std::thread([this] { this->members->run(); });
}

HostListPoll::~HostListPoll()
{
    {
        const std::scoped_lock lock(this->members->mutex);
        this->members->stopping = true;
    }
    this->members->stopped.notify_all();
    this->members->thread.join();
}

void HostListPoll::Members::run()
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

std::optional<HostList> HostListPoll::Members::read(httplib::Client &client)
{
    httplib::Headers headers;
    if (this->last && !this->lastTag.empty()) {
        headers.emplace("If-None-Match", this->lastTag);
    }
    const auto answer = client.Get("/v1/hosts", headers);
    std::optional<HostList> list;
    if (answer && answer->status == 304) {
        list = this->last;
    } else if (answer && answer->status == 200) {
        list = parseHostList(answer->body);
        this->last = list;
        this->lastTag = answer->get_header_value("ETag");
    }
    // Logged on each change only; an outage of the platform would otherwise fill the log.
    if (list.has_value() == this->failing) {
        this->failing = !list.has_value();
        LogLine(this->failing ? "host-list-unreadable" : "host-list-readable")
            .add("address", this->settings.hostListAddress)
            .write();
    }
    return list;
}

}
