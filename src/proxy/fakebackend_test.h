#pragma once

#include "../testserver.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

/// An in-process backend server. Behaves like an engine on each path whose handler a test does not replace.
class FakeBackend
{
public:
    using Json = nlohmann::json;
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    FakeBackend()
    {
        const auto dispatch = [this](const httplib::Request &request, httplib::Response &response) {
            Handler handler;
            {
                const std::scoped_lock lock(this->mutex);
                this->receivedRequests.push_back(request);
                const auto found = this->handlers.find(request.path);
                handler = found == this->handlers.end() ? this->defaultHandler(request.path) : found->second;
            }
            handler(request, response);
        };
        this->http.server.Get("/.*", dispatch).Post("/.*", dispatch).Put("/.*", dispatch);
        this->http.start();
    }

    ~FakeBackend()
    {
        this->stop();
    }

    void stop()
    {
        this->stopping = true;
        this->http.stop();
    }

    std::string address() const
    {
        return this->http.address();
    }

    /// Replaces the handler of @p path.
    void on(const std::string &path, Handler handler)
    {
        const std::scoped_lock lock(this->mutex);
        this->handlers[path] = std::move(handler);
    }

    /// Returns the requests received on @p path.
    std::vector<httplib::Request> requests(const std::string &path) const
    {
        const std::scoped_lock lock(this->mutex);
        std::vector<httplib::Request> found;
        for (const auto &request : this->receivedRequests) {
            if (request.path == path) {
                found.push_back(request);
            }
        }
        return found;
    }

    static std::string event(const std::string &id, int index, const std::string &text)
    {
        return "data: " + Json{{"request_id", id}, {"index", index}, {"text", text}}.dump() + "\n\n";
    }

    static std::string idOf(const httplib::Request &request)
    {
        return Json::parse(request.body)["request_id"].get<std::string>();
    }

    /// Responds with @p events as a chunked body.
    /// @param complete false to close the connection without the final chunk.
    static void stream(httplib::Response &response, const std::string &events, bool complete = true)
    {
        response.set_chunked_content_provider("text/event-stream",
                                              [events, complete](std::size_t, httplib::DataSink &sink) {
                                                  sink.write(events.data(), events.size());
                                                  if (complete) {
                                                      sink.done();
                                                  }
                                                  return complete;
                                              });
    }

    /// Responds with @p events, then sends nothing until the peer closes the connection.
    void streamAndHang(httplib::Response &response, const std::string &events)
    {
        response.set_chunked_content_provider(
            "text/event-stream", [this, events, sent = false](std::size_t, httplib::DataSink &sink) mutable {
                if (!sent) {
                    sink.write(events.data(), events.size());
                    sent = true;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
                if (!sink.is_writable()) {
                    this->closedByPeer = true;
                }
                return sink.is_writable() && !this->stopping;
            });
    }

    std::atomic<bool> closedByPeer{false}; ///< Set when the peer closes a hanging stream.
    std::atomic<bool> stopping{false};

private:
    static Handler defaultHandler(const std::string &path)
    {
        if (path == "/v1/prefill") {
            return [](const httplib::Request &request, httplib::Response &response) {
                response.set_content(Json{{"request_id", idOf(request)},
                                          {"handle", "h1"},
                                          {"prompt_tokens", 1},
                                          {"cached_tokens", 0},
                                          {"kv_bytes", 1}}
                                         .dump(),
                                     "application/json");
            };
        }
        if (path == "/v1/decode") {
            return [](const httplib::Request &request, httplib::Response &response) {
                const std::string id = idOf(request);
                stream(response, event(id, 0, "Hel") + event(id, 1, "lo") + "data: [DONE]\n\n");
            };
        }
        if (path == "/v1/cancel") {
            return [](const httplib::Request &, httplib::Response &response) {
                response.set_content("{\"cancelled\":true}", "application/json");
            };
        }
        return [](const httplib::Request &, httplib::Response &response) { response.status = 404; };
    }

    mutable std::mutex mutex;
    std::vector<httplib::Request> receivedRequests;
    std::map<std::string, Handler> handlers;
    Cyclamen::TestServer http;
};
