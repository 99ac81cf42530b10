#pragma once

#include "fakebackend_test.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/proxy/proxyserver.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/leaf.hpp>

/// The request path of an entry with fake hooks: one prefill engine, one decode engine and one backend server of the
/// service "booking".
class ProxyFixture
{
public:
    ProxyFixture()
    {
        this->settings.name = "entry-1";
        this->settings.zone = "z1";
        this->settings.region = "r1";
        this->settings.callerAddress = "127.0.0.1:" + std::to_string(freePort());
        this->settings.adminAddress = "127.0.0.1:1";
        this->settings.sharedKey = std::string(32, 'k');
        this->view.ready = true;
        this->view.self.name = "entry-1";
        this->view.self.region = "r1";
        this->view.self.callerAddress = this->settings.callerAddress;
        this->view.members = {this->view.self};
        this->view.config = std::make_shared<Cyclamen::FleetConfig>();
        this->add(this->prefill, Cyclamen::EngineRole::Prefill);
        this->add(this->decode, Cyclamen::EngineRole::Decode);
        this->addService(this->service);
    }

    void add(const FakeBackend &backend, Cyclamen::EngineRole role)
    {
        const std::scoped_lock lock(this->mutex);
        this->view.backends.push_back(
            {backend.address(), Cyclamen::BackendKind::Engine, "pool", "m1", role, "z1", {}, true});
    }

    void addService(const FakeBackend &backend)
    {
        const std::scoped_lock lock(this->mutex);
        this->view.backends.push_back(
            {backend.address(), Cyclamen::BackendKind::Service, "booking", "", {}, "z1", {}, true});
    }

    void setState(const FakeBackend &backend, Cyclamen::BackendState state)
    {
        const std::scoped_lock lock(this->mutex);
        for (auto &known : this->view.backends) {
            if (known.address == backend.address()) {
                known.state = state;
            }
        }
    }

    void start()
    {
        this->proxy = std::make_unique<Cyclamen::ProxyServer>(this->settings, 7, this->hooks(), this->metrics);
        REQUIRE(this->proxy->start());
    }

    httplib::Client client() const
    {
        httplib::Client client("http://" + this->settings.callerAddress);
        client.set_read_timeout(10);
        return client;
    }

    /// Sends a completion request and returns the response.
    httplib::Result complete(bool stream, const httplib::Headers &headers = {},
                             const std::string &prompt = "hello") const
    {
        const nlohmann::json body{{"model", "m1"}, {"prompt", prompt}, {"stream", stream}, {"max_tokens", 8}};
        return this->client().Post("/v1/completions", headers, body.dump(), "application/json");
    }

    /// Opens a raw connection and sends @p text.
    int connectRaw(const std::string &text) const
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in endpoint{};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(static_cast<std::uint16_t>(
            std::stoi(this->settings.callerAddress.substr(this->settings.callerAddress.find(':') + 1))));
        inet_pton(AF_INET, "127.0.0.1", &endpoint.sin_addr);
        REQUIRE(connect(fd, reinterpret_cast<sockaddr *>(&endpoint), sizeof endpoint) == 0);
        REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        return fd;
    }

    static std::string rawCompletion(bool stream)
    {
        const std::string body = nlohmann::json{{"model", "m1"}, {"prompt", "hello"}, {"stream", stream}}.dump();
        return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    /// Waits until @p condition holds, at most 5 s.
    /// @return whether it holds.
    static bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 2500; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return false;
    }

    static int freePort()
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in local{};
        local.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        socklen_t size = sizeof local;
        bind(fd, reinterpret_cast<sockaddr *>(&local), size);
        getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
        close(fd);
        return ntohs(local.sin_port);
    }

    static std::string type(const httplib::Result &result)
    {
        return nlohmann::json::parse(result->body)["error"]["type"].get<std::string>();
    }

    std::vector<Cyclamen::CrashReport> crashes() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->reports;
    }

    /// Returns the value of the metric with the name and labels @p line; 0 if it is absent.
    double metricValue(const std::string &line) const
    {
        const std::string text = this->metrics.serialize();
        const std::size_t at = text.find("\n" + line + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + line.size() + 2));
    }

    Cyclamen::Settings settings;
    Cyclamen::FleetView view;
    FakeBackend prefill;
    FakeBackend decode;
    FakeBackend service;
    std::atomic<int> grantsHeld{0}; ///< Grants that are not released yet.
    std::atomic<bool> refuseRequests{false}; ///< Every SlotRequest is refused.
    std::set<std::string> enginesOutOfUse; ///< Their owner refuses every SlotRequest for that reason.
    std::atomic<bool> blockRequests{false}; ///< Every SlotRequest waits until it is withdrawn.
    std::atomic<bool> keyValueDown{false};
    std::atomic<bool> loseWrites{false}; ///< Call records are created, but their creation is reported as failed.
    std::map<std::string, Cyclamen::CallRecord> records;
    std::vector<Cyclamen::CrashReport> reports;
    Cyclamen::Metrics metrics;
    mutable std::mutex mutex;
    std::unique_ptr<Cyclamen::ProxyServer> proxy;

private:
    boost::leaf::result<Cyclamen::SlotGrant> acquire(const Cyclamen::SlotRequest &slotRequest)
    {
        if (this->refuseRequests) {
            return boost::leaf::new_error(Cyclamen::NoCapacity{"pool", 300});
        }
        if (this->enginesOutOfUse.contains(slotRequest.engine)) {
            return boost::leaf::new_error(Cyclamen::NoCapacity{slotRequest.engine, 100, true});
        }
        if (this->blockRequests) {
            const auto isWithdrawn = [this] { return this->withdrawn.load(); };
            if (eventually(isWithdrawn)) {
                return boost::leaf::new_error(Cyclamen::NoCapacity{"pool", 0});
            }
        }
        ++this->grantsHeld;
        return Cyclamen::SlotGrant{slotRequest.requestId, slotRequest.engine, "entry-1",
                                   slotRequest.slots,     slotRequest.tokens, Cyclamen::Millis(0)};
    }

    Cyclamen::ProxyHooks hooks()
    {
        using namespace Cyclamen;
        ProxyHooks hooks;
        hooks.fleetView = [this] {
            const std::scoped_lock lock(this->mutex);
            return std::make_shared<const FleetView>(this->view);
        };
        hooks.acquireSlot = [this](const SlotRequest &slotRequest) { return this->acquire(slotRequest); };
        hooks.releaseSlot = [this](const SlotGrant &grant) {
            // A grant has an owner; the withdrawal of a SlotRequest has none.
            if (grant.owner.empty()) {
                this->withdrawn = true;
            } else {
                --this->grantsHeld;
            }
        };
        hooks.engineLoad = [](const std::string &engine) {
            return std::optional(EngineLoad{engine, 20, 0, 0, 100000, Clock::now()});
        };
        hooks.prefixHint = [](const std::string &) { return std::optional<std::string>(); };
        hooks.recordPrefix = [](const std::string &, const std::string &) {};
        hooks.reportCrash = [this](const CrashReport &report) {
            const std::scoped_lock lock(this->mutex);
            this->reports.push_back(report);
        };
        hooks.crashReports = [this] { return this->crashes(); };
        hooks.createCallRecord = [this](const CallRecord &wanted) -> boost::leaf::result<CallRecord> {
            if (this->keyValueDown && !this->loseWrites) {
                return boost::leaf::new_error(KeyValueUnavailable{"down"});
            }
            const std::scoped_lock lock(this->mutex);
            const auto &stored = this->records.emplace(wanted.workspace + "/" + wanted.key, wanted).first->second;
            if (this->loseWrites) {
                return boost::leaf::new_error(KeyValueUnavailable{"lost"});
            }
            return stored;
        };
        hooks.finishCallRecord = [this](const CallRecord &record) {
            const std::scoped_lock lock(this->mutex);
            auto &stored = this->records.at(record.workspace + "/" + record.key);
            // The key-value service updates a record only for the attempt that created it.
            if (stored.attempt == record.attempt) {
                stored = record;
            }
        };
        hooks.publishLoad = [](std::uint32_t) {};
        return hooks;
    }

    std::atomic<bool> withdrawn{false};
};
