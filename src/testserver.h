#pragma once

#include <chrono>
#include <string>
#include <thread>

#include <httplib.h>

namespace Cyclamen
{

/// An HTTP server on loopback for tests. Add handlers to `server` before start(). It listens on a free port until
/// stop() or the end of its lifetime.
struct TestServer
{
    TestServer() = default;
    ~TestServer()
    {
        this->stop();
    }
    TestServer(const TestServer &) = delete;
    TestServer &operator=(const TestServer &) = delete;

    void start()
    {
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        // httplib::Server::stop() has no effect before the server runs, so that stop() would wait for the thread
        // forever.
        while (!this->server.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    void stop()
    {
        this->server.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    httplib::Server server;
    int port = 0;
    std::thread thread;
};

}
