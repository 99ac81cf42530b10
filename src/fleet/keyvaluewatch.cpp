#include "keyvaluewatch.h"

#include "cyclamencross/base/base64.h"
#include "keyvaluejson.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"

#include <mutex>

#include <httplib.h>

namespace Cyclamen
{

namespace
{

// Splits the response stream into lines and passes the events in them to the receiver.
class WatchStreamParser
{
public:
    explicit WatchStreamParser(const KeyValueWatch::Receiver &receiver)
        : receiver(receiver)
    {
    }

    // Returns whether to continue reading the stream.
    bool consume(const char *data, std::size_t size)
    {
        // The service limits values to 1 MB; base64 adds a third.
        static constexpr std::size_t MaxLineBytes = 4U << 20U;
        this->buffer.append(data, size);
        for (std::size_t end = 0; (end = this->buffer.find('\n')) != std::string::npos;) {
            const std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (!this->parseLine(line)) {
                return false;
            }
        }
        return this->buffer.size() <= MaxLineBytes;
    }

    bool isAccepted() const
    {
        return this->accepted;
    }

private:
    bool parseLine(const std::string &line)
    {
        try {
            const auto result = nlohmann::json::parse(line).at("result");
            this->accepted = true;
            for (const auto &event : result.value("events", nlohmann::json::array())) {
                if (event.value("type", "PUT") == "PUT") {
                    this->receiver(toEntry(event.at("kv")));
                }
            }
            return !result.value("canceled", false);
        } catch (const std::exception &error) {
            LogLine("keyvalue-watch-malformed").add("detail", error.what()).warn();
            return false;
        }
    }

    const KeyValueWatch::Receiver &receiver;
    std::string buffer;
    bool accepted = false;
};

}

struct KeyValueWatch::Impl
{
    bool isStopped()
    {
        const std::scoped_lock lock(this->mutex);
        return this->stopped;
    }

    Settings settings;
    Metrics *metrics = nullptr;
    std::mutex mutex;
    std::unique_ptr<httplib::Client> client;
    bool stopped = false;
};

KeyValueWatch::KeyValueWatch(const Settings &settings, Metrics &metrics)
    : impl(std::make_unique<Impl>())
{
    this->impl->settings = settings;
    this->impl->metrics = &metrics;
}

KeyValueWatch::~KeyValueWatch() = default;

bool KeyValueWatch::run(const std::string &key, std::int64_t startRevision, const Receiver &receiver)
{
    const auto address = parseIpPort(this->impl->settings.keyValueAddress).value_or(IpPort{"0.0.0.0", 0});
    {
        const std::scoped_lock lock(this->impl->mutex);
        if (this->impl->stopped) {
            return false;
        }
        this->impl->client = std::make_unique<httplib::Client>(address.ip, address.port);
    }
    httplib::Client &client = *this->impl->client;
    client.set_connection_timeout(this->impl->settings.connectTimeout);
    client.set_read_timeout(MaxSilence);
    this->impl->metrics->count("cyclamencross_keyvalue_calls_total", {{"kind", "watch"}});

    const nlohmann::json body = {
        {"create_request", {{"key", toBase64(key)}, {"start_revision", std::to_string(startRevision)}}}};
    WatchStreamParser parser(receiver);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.set_header("Content-Type", "application/json");
    request.body = body.dump();
    addControlBytesSent(request.body.size());
    request.content_receiver = [this, &parser](const char *data, std::size_t size, std::uint64_t /*offset*/,
                                               std::uint64_t /*total*/) {
        addControlBytesReceived(size);
        return !this->impl->isStopped() && parser.consume(data, size);
    };
    client.send(request);
    return parser.isAccepted();
}

void KeyValueWatch::stop()
{
    const std::scoped_lock lock(this->impl->mutex);
    this->impl->stopped = true;
    if (this->impl->client) {
        this->impl->client->stop();
    }
}

}
