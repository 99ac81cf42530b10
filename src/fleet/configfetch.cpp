#include "configfetch.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/fleet/configtext.h"
#include "cyclamencross/net/peerhttp.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

// A configuration may take up to 1 MB; the bound of 10 s for a change leaves time for another peer.
constexpr Millis FetchTimeout{2000};

}

struct ConfigFetch::Members
{
    struct Order
    {
        std::string address;
        std::uint64_t revision = 0;
    };

    void run();
    void fetch(const Order &order);

    Settings settings;
    ConfigStore *store = nullptr;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Order> next;
    bool stopping = false;
    std::thread thread;
};

ConfigFetch::ConfigFetch(const Settings &settings, ConfigStore &store)
    : members(std::make_unique<Members>())
{
    this->members->settings = settings;
    this->members->store = &store;
    this->members->thread = std::thread([this] { this->members->run(); });
}

ConfigFetch::~ConfigFetch()
{
    {
        const std::scoped_lock lock(this->members->mutex);
        this->members->stopping = true;
    }
    this->members->changed.notify_all();
    this->members->thread.join();
}

void ConfigFetch::order(const std::string &adminAddress, std::uint64_t revision)
{
    {
        const std::scoped_lock lock(this->members->mutex);
        this->members->next = Members::Order{adminAddress, revision};
    }
    this->members->changed.notify_all();
}

void ConfigFetch::Members::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || this->next; });
        if (this->stopping) {
            return;
        }
        const Order order = *std::exchange(this->next, std::nullopt);
        // An order given while the last fetch ran may be done already.
        if (order.revision > this->store->current()->revision) {
            lock.unlock();
            this->fetch(order);
            lock.lock();
        }
    }
}

void ConfigFetch::Members::fetch(const Order &order)
{
    const auto failed = [&order](const std::string &detail) {
        LogLine("config-fetch-failed").add("peer", order.address).add("detail", detail).warn();
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(reply,
                            callPeer(order.address, HttpRequest{"GET", "/peer/config", {}, ""},
                                     this->settings.sharedKey, FetchTimeout));
            if (reply.status != 200) {
                return boost::leaf::new_error(
                    ProtocolViolation{order.address, "status " + std::to_string(reply.status)});
            }
            BOOST_LEAF_AUTO(config, parseConfig(reply.body, order.address));
            this->store->accept(config);
            return {};
        },
        [&](const ConnectFailed &) { failed("connect failed"); },
        [&](const ExchangeBroken &failure) { failed(failure.detail); },
        [&](const ProtocolViolation &failure) { failed(failure.detail); },
        [&](const InvalidSetting &fault) { failed("invalid at " + fault.key + ": expected " + fault.expected); },
        [&] { failed("unknown"); });
}

}
