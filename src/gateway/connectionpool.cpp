#include "connectionpool.h"

#include "cyclamencross/gateway/httpclientconnection.h"

#include <algorithm>

namespace Cyclamen
{

ConnectionPool::ConnectionPool(boost::asio::any_io_executor executor)
    : executor(std::move(executor))
{
}

std::shared_ptr<HttpClientConnection> ConnectionPool::takeIdle(const std::string &key)
{
    const auto it = this->idle.find(key);
    while (it != this->idle.end() && !it->second.empty()) {
        // The most recently used connection is the least likely to have been closed by the server.
        const IdleConnection candidate = it->second.back();
        it->second.pop_back();
        if (candidate.until > Clock::now() && candidate.connection->stopIdleWatch()) {
            return candidate.connection;
        }
        candidate.connection->close();
    }
    return nullptr;
}

boost::asio::awaitable<std::shared_ptr<HttpClientConnection>> ConnectionPool::open(std::string address, Millis timeout)
{
    auto connection = std::make_shared<HttpClientConnection>(this->executor, std::move(address));
    const ConnectionStatus status = co_await connection->connect(timeout);
    if (status != ConnectionStatus::Ok) {
        connection = nullptr;
    }
    co_return connection;
}

boost::asio::awaitable<ConnectionStatus> ConnectionPool::probe(std::string address, Millis timeout)
{
    const auto connection = std::make_shared<HttpClientConnection>(this->executor, std::move(address));
    const ConnectionStatus status = co_await connection->connect(timeout);
    connection->close();
    co_return status;
}

void ConnectionPool::release(const std::string &key, const std::shared_ptr<HttpClientConnection> &connection)
{
    const Millis serverTimeout = connection->isReusable() ? connection->keepAlive() : Millis(0);
    const Millis idleTime = serverTimeout > Millis(0)
        ? std::min(serverTimeout, DefaultIdleTime + IdleMargin) - IdleMargin
        : DefaultIdleTime;
    std::deque<IdleConnection> &connections = this->idle[key];
    if (!connection->isReusable() || connections.size() >= MaxIdlePerBackend || idleTime <= Millis(0)) {
        connection->close();
        return;
    }
    connections.push_back(IdleConnection{connection, Clock::now() + idleTime});
    // A connection that the server closes stays in the list until takeIdle() or expire() removes it.
    connection->watchIdle();
}

void ConnectionPool::closeIdle(const std::string &key)
{
    const auto it = this->idle.find(key);
    if (it == this->idle.end()) {
        return;
    }
    for (const IdleConnection &idleConnection : it->second) {
        idleConnection.connection->close();
    }
    this->idle.erase(it);
}

void ConnectionPool::expire(TimePoint now)
{
    for (auto &[key, connections] : this->idle) {
        std::erase_if(connections, [now](const IdleConnection &idleConnection) {
            if (idleConnection.until > now) {
                return false;
            }
            idleConnection.connection->close();
            return true;
        });
    }
    std::erase_if(this->idle, [](const auto &item) { return item.second.empty(); });
}

}
