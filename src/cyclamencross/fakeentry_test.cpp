#include "fakeentry.h"

#include "../testport.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/fleet/configtext.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

Settings makeSettings()
{
    Settings settings;
    settings.adminAddress = "127.0.0.1:" + std::to_string(freePort());
    settings.sharedKey = "0123456789abcdef0123456789abcdef";
    settings.adminThreads = 4;
    return settings;
}

// Captures the output of a stream during the lifetime of the object.
class StreamCapture
{
public:
    explicit StreamCapture(std::ostream &stream)
        : stream(stream)
        , originalBuffer(stream.rdbuf(this->content.rdbuf()))
    {
    }

    ~StreamCapture()
    {
        this->stream.rdbuf(this->originalBuffer);
    }

    std::string text() const
    {
        return this->content.str();
    }

private:
    std::ostringstream content;
    std::ostream &stream;
    std::streambuf *originalBuffer;
};

}

TextFile::TextFile(const std::string &content)
{
    static int files = 0;
    this->path = "/tmp/cyclamencross-test-" + std::to_string(::getpid()) + "-" + std::to_string(++files) + ".ini";
    std::ofstream(this->path) << content;
}

TextFile::~TextFile()
{
    std::remove(this->path.c_str());
}

FakeEntry::FakeEntry(const std::string &configText, std::uint64_t revision)
    : settings(makeSettings())
    , server(this->settings, this->metrics)
{
    this->store(configText, revision, "first", "founder");
    addAdminRoutes(this->server, this->hooks());
    REQUIRE(this->server.start());
}

AdminHooks FakeEntry::hooks()
{
    AdminHooks hooks;
    hooks.view = [this] {
        const std::scoped_lock lock(this->mutex);
        return std::make_shared<const FleetView>(this->view);
    };
    hooks.configText = [this] {
        const std::scoped_lock lock(this->mutex);
        return this->text;
    };
    hooks.applyConfig = [this](const std::string &changed, std::uint64_t base, const std::string &changeId,
                               const std::string &author) { return this->apply(changed, base, changeId, author); };
    hooks.configHistory = [this]() -> boost::leaf::result<std::vector<std::string>> {
        const std::scoped_lock lock(this->mutex);
        return this->history;
    };
    hooks.crashes = [this] { return this->crashes; };
    hooks.liftCrash = [this](std::uint64_t fingerprint) {
        std::erase_if(this->crashes, [&](const CrashReport &crash) { return crash.fingerprint == fingerprint; });
    };
    return hooks;
}

boost::leaf::result<std::uint64_t> FakeEntry::apply(const std::string &changed, std::uint64_t base,
                                                    const std::string &changeId, const std::string &author)
{
    this->applyCalls += 1;
    const std::uint64_t current = this->revision();
    if (base != current) {
        return boost::leaf::new_error(RevisionConflict{base, current});
    }
    if (!this->dropWrites) {
        this->store(changed, current + 1, changeId, author);
    }
    if (!this->followingChangeId.empty()) {
        this->store(changed, current + 2, this->followingChangeId, author);
    }
    if (this->loseReplies) {
        return boost::leaf::new_error(KeyValueUnavailable{"answer lost"});
    }
    return current + 1;
}

void FakeEntry::store(const std::string &changed, std::uint64_t revision, const std::string &changeId,
                      const std::string &author)
{
    FleetConfig config = boost::leaf::try_handle_all([&] { return parseConfig(changed, ""); },
                                                     []() -> FleetConfig { throw std::invalid_argument("changed"); });
    config.revision = revision;
    config.changeId = changeId;
    config.author = author;
    const std::scoped_lock lock(this->mutex);
    this->view.config = std::make_shared<const FleetConfig>(config);
    this->text = formatConfig(config);
    this->history.insert(this->history.begin(), this->text);
}

std::uint64_t FakeEntry::revision() const
{
    const std::scoped_lock lock(this->mutex);
    return this->view.config->revision;
}

AdminClient FakeEntry::client() const
{
    return AdminClient(this->settings.adminAddress, this->settings.sharedKey);
}

Output FakeEntry::run(const std::function<int(int, const char *const *)> &command,
                      std::vector<std::string> arguments) const
{
    const TextFile file("[entry]\nname = fake\nregion = r\nzone = z\n[listen]\ncaller = 127.0.0.1:1\nadmin = "
                        + this->settings.adminAddress
                        + "\ngossip = 127.0.0.1:1\n[platform]\nkey_value = 127.0.0.1:1\nhosts = 127.0.0.1:1\n"
                          "[peers]\nshared_key = "
                        + this->settings.sharedKey + "\n");
    arguments.insert(arguments.end(), {"--settings", file.path});
    std::vector<const char *> argv;
    argv.reserve(arguments.size());
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const StreamCapture output(std::cout);
    const StreamCapture errors(std::cerr);
    const int exitCode = command(int(argv.size()), argv.data());
    return Output{exitCode, output.text(), errors.text()};
}

}
