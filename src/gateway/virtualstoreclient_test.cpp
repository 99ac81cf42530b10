// The clients of VirtualStore.

#include "virtualstore_test.h"

#include <algorithm>

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Cyclamen
{

namespace
{

// As in the client of the platform.
constexpr Millis CallTimeout{1000};
constexpr Millis ReadTimeout{500};
constexpr Millis WatchSlack{500};
constexpr std::size_t MaxIdleConnections = 2;
// A call takes between one and four times this.
constexpr Micros LatencyUnit{1500};

template<typename Value>
struct PendingCall
{
    std::function<void(StoreResult<Value>)> complete;

    bool isOpen() const
    {
        return bool(this->complete);
    }

    void finish(StoreResult<Value> result)
    {
        if (const auto call = std::exchange(this->complete, nullptr)) {
            call(std::move(result));
        }
    }
};

StoreFailure unreachable()
{
    return StoreFailure{StoreFailure::Kind::Unreachable, ""};
}

}

Millis VirtualStore::latency()
{
    const double factor = 1 + 3 * this->time.random();
    return std::chrono::ceil<Millis>(Micros(std::int64_t(factor * double(LatencyUnit.count()))));
}

template<typename Value>
StoreAwaitable<Value> VirtualStore::call(ClientPtr client, StoreCalls calls, Millis timeout, bool isWatch,
                                         std::function<void(Reply<Value>)> execute)
{
    ConnectionPtr connection;
    if (client->idle.empty()) {
        connection = std::make_shared<Connection>();
        connection->lastTraffic = this->time.now();
        client->all.push_back(connection);
    } else {
        connection = client->idle.back();
        client->idle.pop_back();
    }
    this->recordTraffic(client->process->router, *connection);
    const auto pending = std::make_shared<PendingCall<Value>>();
    const auto reply = [this, pending, client, connection](StoreResult<Value> result, Millis delay) {
        this->recordTraffic(client->process->router, *connection);
        const auto deliver = [pending, client, connection, result = std::move(result)] {
            if (!pending->isOpen() || connection->silent) {
                return;
            }
            if (client->idle.size() < MaxIdleConnections) {
                client->idle.push_back(connection);
            }
            pending->finish(result);
        };
        this->time.runAt(this->time.now() + delay, client->process, deliver);
    };
    const auto fail = [this, process = client->process, weak = std::weak_ptr(pending)](Millis delay) {
        this->time.runAt(this->time.now() + delay, process, [weak] {
            if (const auto open = weak.lock()) {
                open->finish(unreachable());
            }
        });
    };
    const auto arrive = [this, client, connection, calls, execute, reply, fail] {
        const Fault fault = this->faultOf(client->process->router, calls);
        if (connection->silent || fault.kind == StoreFault::Silent) {
            return;
        }
        if (fault.kind == StoreFault::Refuse) {
            reply(this->failure(StoreFailure::Kind::Refused), this->latency());
        } else if (fault.kind == StoreFault::Reset) {
            fail(this->latency());
        } else {
            execute([this, client, calls, reply, fail](StoreResult<Value> result) {
                const Fault now = this->faultOf(client->process->router, calls);
                if (now.kind == StoreFault::Reset) {
                    fail(this->latency());
                } else if (now.kind != StoreFault::Silent && now.kind != StoreFault::LoseAnswers) {
                    reply(std::move(result), this->latency() + now.delay);
                }
            });
        }
    };
    if (isWatch) {
        client->watchConnection = connection;
        client->cancelWatch = [fail] { fail(Millis(0)); };
    }
    this->time.runAt(this->time.now() + this->latency(), nullptr, arrive);
    const auto initiate = [this, &pending, &client, timeout](auto handler) {
        const auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        pending->complete = [shared](StoreResult<Value> result) { std::move (*shared)(std::move(result)); };
        this->time.runTimer(timeout, client->process, [this, pending, client] {
            if (!pending->isOpen()) {
                return;
            }
            if (this->clientsDropIdleConnections) {
                client->idle.clear();
            }
            pending->finish(unreachable());
        });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(StoreResult<Value>)>(
        initiate, boost::asio::use_awaitable);
}

template<typename Value>
StoreAwaitable<Value> VirtualStore::callNow(ClientPtr client, StoreCalls calls, Millis timeout,
                                            std::function<StoreResult<Value>()> execute)
{
    return this->call<Value>(std::move(client), calls, timeout, false,
                             [execute = std::move(execute)](const Reply<Value> &reply) { reply(execute()); });
}

StateStore VirtualStore::makeClient(const ProcessPtr &process)
{
    const auto client = std::make_shared<Client>();
    client->process = process;
    this->clients.push_back(client);
    StateStore store;
    store.list = [this, client](std::string /*prefix*/) {
        ++this->lists;
        return this->callNow<StorePage>(client, StoreCalls::Reads, CallTimeout, [this] { return this->list(); });
    };
    store.watch = [this, client](std::string /*prefix*/, StoreRevision after, Millis wait) {
        return this->call<StorePage>(
            client, StoreCalls::Reads, wait + WatchSlack, true, [this, after, wait](const Reply<StorePage> &reply) {
                this->watches.push_back(Watch{after, this->time.now() + wait, reply});
                this->time.runAt(this->time.now() + wait, nullptr, [this] { this->answerWatches(); });
                this->answerWatches();
            });
    };
    store.readChanges = [this, client](std::string /*prefix*/, StoreRevision after) {
        return this->callNow<StorePage>(client, StoreCalls::Reads, ReadTimeout,
                                        [this, after] { return this->changes(after); });
    };
    store.cancelWatch = [client] {
        if (client->cancelWatch) {
            std::exchange(client->cancelWatch, nullptr)();
        }
    };
    const auto callForLease = [this, client](auto execute) {
        return this->callNow<std::uint64_t>(client, StoreCalls::Writes, CallTimeout, execute);
    };
    const auto callForRevision = [this, client](auto execute) {
        return this->callNow<StoreRevision>(client, StoreCalls::Writes, CallTimeout, execute);
    };
    store.grantLease = [this, client](Millis lifetime) {
        return this->callNow<StoreLease>(client, StoreCalls::Writes, CallTimeout, [this, lifetime] {
            return StoreLease{this->grantLease(lifetime), this->generation};
        });
    };
    store.renewLease = [this, callForLease](std::uint64_t lease) {
        return callForLease([this, lease]() -> StoreResult<std::uint64_t> {
            if (!this->renewLease(lease)) {
                return this->failure(StoreFailure::Kind::LeaseExpired);
            }
            return this->generation;
        });
    };
    store.endLease = [this, callForLease](std::uint64_t lease) {
        return callForLease([this, lease]() -> StoreResult<std::uint64_t> {
            this->endLease(lease);
            return this->generation;
        });
    };
    store.write = [this, callForRevision](std::string key, std::string value, std::uint64_t lease) {
        return callForRevision([this, key, value, lease]() -> StoreResult<StoreRevision> {
            if (lease != 0 && !this->content.leases.contains(lease)) {
                return this->failure(StoreFailure::Kind::LeaseExpired);
            }
            return this->put(key, value, lease);
        });
    };
    store.writeIf = [this, callForRevision](std::string key, std::string value, std::uint64_t lease,
                                            std::string conditionKey, StoreRevision conditionRevision) {
        return callForRevision([this, key, value, lease, conditionKey, conditionRevision] {
            return this->writeIf(key, value, lease, conditionKey, conditionRevision);
        });
    };
    return store;
}

}
