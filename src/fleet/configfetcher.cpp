#include "configfetcher.h"

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

// A configuration may be up to 1 MB. A change must be in force within 10 s, so this leaves time to try another peer.
constexpr Millis FetchTimeout{2000};

}

struct ConfigFetcher::Impl
{
    struct FetchRequest
    {
        std::string address;
        std::uint64_t revision = 0;
    };

    void run();
    void fetch(const FetchRequest &request);

    Settings settings;
    ConfigStore *store = nullptr;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<FetchRequest> pending;
    bool stopping = false;
    std::thread thread;
};

ConfigFetcher::ConfigFetcher(const Settings &settings, ConfigStore &store)
    : impl(std::make_unique<Impl>())
{
    this->impl->settings = settings;
    this->impl->store = &store;
    this->impl->thread = std::thread([this] { this->impl->run(); });
}

ConfigFetcher::~ConfigFetcher()
{
    {
        const std::scoped_lock lock(this->impl->mutex);
        this->impl->stopping = true;
    }
    this->impl->changed.notify_all();
    this->impl->thread.join();
}

void ConfigFetcher::request(const std::string &adminAddress, std::uint64_t revision)
{
    {
        const std::scoped_lock lock(this->impl->mutex);
        this->impl->pending = Impl::FetchRequest{adminAddress, revision};
    }
    this->impl->changed.notify_all();
}

void ConfigFetcher::Impl::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || this->pending; });
        if (this->stopping) {
            return;
        }
        const FetchRequest request = *std::exchange(this->pending, std::nullopt);
        // The previous download may already have delivered the revision that was requested meanwhile.
        if (request.revision > this->store->current()->revision) {
            lock.unlock();
            this->fetch(request);
            lock.lock();
        }
    }
}

void ConfigFetcher::Impl::fetch(const FetchRequest &request)
{
    const auto failed = [&request](const std::string &detail) {
        LogLine("config-fetch-failed").add("peer", request.address).add("detail", detail).warn();
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(reply,
                            callPeer(request.address, HttpRequest{"GET", "/peer/config", {}, ""},
                                     this->settings.sharedKey, FetchTimeout));
            if (reply.status != 200) {
                return boost::leaf::new_error(
                    ProtocolViolation{request.address, "status " + std::to_string(reply.status)});
            }
            BOOST_LEAF_AUTO(config, parseConfig(reply.body, request.address));
            this->store->accept(config);
            return {};
        },
        [&](const ConnectFailed &) { failed("connection failed"); },
        [&](const ExchangeBroken &failure) { failed(failure.detail); },
        [&](const ProtocolViolation &failure) { failed(failure.detail); },
        [&](const InvalidSetting &fault) {
            failed("invalid configuration at " + fault.key + ": expected " + fault.expected);
        },
        [&] { failed("unknown"); });
}

}
