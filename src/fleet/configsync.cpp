#include "configsync.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/fleet/configtext.h"

#include <algorithm>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

// A write whose answer was lost is tried again; its comparison keeps it from taking effect twice.
constexpr int WriteTries = 3;

std::string historyKey(std::uint64_t revision)
{
    return ConfigSync::HistoryPrefix + std::to_string(revision % ConfigSync::HistoryLength);
}

// Text that comes from outside the INI file must not add lines or comments to it.
bool isPlain(const std::string &text)
{
    return !text.empty() && text.size() <= 200 && text.front() != ' ' && text.back() != ' '
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= ' ' && c != ';' && c != 0x7F; });
}

// Nothing readable is stored as if nothing was stored: revision 0.
FleetConfig parseStored(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&text]() { return parseConfig(text, ConfigSync::CurrentKey); },
        [](const InvalidSetting &fault) {
            LogLine("config-stored-invalid").add("key", fault.key).add("line", fault.line).error();
            return FleetConfig();
        },
        [] { return FleetConfig(); });
}

}

ConfigSync::ConfigSync(ConfigStore &store, KeyValueClient &client)
    : store(store)
    , client(client)
{
}

boost::leaf::result<ConfigSync::Stored> ConfigSync::read()
{
    BOOST_LEAF_AUTO(found, this->client.get(CurrentKey));
    Stored stored;
    stored.storeRevision = found.revision;
    if (found.entry) {
        stored.config = parseStored(found.entry->value);
        stored.modRevision = found.entry->modRevision;
    }
    return stored;
}

boost::leaf::result<bool> ConfigSync::write(const FleetConfig &config, std::int64_t modRevision)
{
    const std::string text = formatConfig(config);
    KeyValueTxn txn;
    txn.compares = {{CurrentKey, KeyValueTxn::Target::ModRevision, modRevision}};
    txn.puts = {{CurrentKey, text}, {historyKey(config.revision), text}};
    BOOST_LEAF_AUTO(result, this->client.transact(txn));
    return result.succeeded;
}

bool ConfigSync::take(const KeyValueEntry &entry)
{
    const FleetConfig config = parseStored(entry.value);
    this->store.accept(config);
    return config.revision < this->store.current()->revision;
}

boost::leaf::result<std::int64_t> ConfigSync::pull(bool writeBack)
{
    BOOST_LEAF_AUTO(stored, this->read());
    if (stored.config.revision > 0) {
        this->store.accept(stored.config);
    }
    const auto current = this->store.current();
    if (writeBack && stored.config.revision < current->revision) {
        BOOST_LEAF_AUTO(written, this->write(*current, stored.modRevision));
        LogLine("config-written-back")
            .add("revision", current->revision)
            .add("found", stored.config.revision)
            .add("written", written)
            .warn();
    }
    return stored.storeRevision;
}

boost::leaf::result<std::optional<FleetConfig>> ConfigSync::findStored(const Stored &stored, const FleetConfig &wanted)
{
    if (stored.config.changeId == wanted.changeId) {
        return std::optional(stored.config);
    }
    if (stored.config.revision <= wanted.revision) {
        return std::optional<FleetConfig>();
    }
    // A later change may already stand above it.
    BOOST_LEAF_AUTO(past, this->client.get(historyKey(wanted.revision)));
    if (past.entry) {
        FleetConfig config = parseStored(past.entry->value);
        if (config.changeId == wanted.changeId) {
            return std::optional(std::move(config));
        }
    }
    return std::optional<FleetConfig>();
}

boost::leaf::result<std::uint64_t> ConfigSync::apply(const std::string &text, std::uint64_t baseRevision,
                                                     const std::string &changeId, const std::string &author)
{
    for (const auto &[key, value] : {std::pair("id", changeId), std::pair("author", author)}) {
        if (!isPlain(value)) {
            return boost::leaf::new_error(
                InvalidSetting{"change", 0, key, "up to 200 characters of plain text without a semicolon"});
        }
    }
    BOOST_LEAF_AUTO(wanted, parseConfig(text, "change"));
    wanted.revision = baseRevision + 1;
    wanted.changeId = changeId;
    wanted.author = author;
    for (FleetException &exception : wanted.exceptions) {
        exception.author = exception.author.empty() ? author : exception.author;
    }
    if (formatConfig(wanted).size() > MaxConfigBytes) {
        return boost::leaf::new_error(InvalidSetting{"change", 0, "", "a configuration of at most 1 MB"});
    }
    BOOST_LEAF_AUTO(stored, this->read());
    for (int tries = 0; tries < WriteTries; ++tries) {
        BOOST_LEAF_AUTO(done, this->findStored(stored, wanted));
        if (done) {
            this->store.accept(*done);
            return done->revision;
        }
        const auto current = this->store.current();
        const std::uint64_t newest = std::max(stored.config.revision, current->revision);
        if (newest != baseRevision) {
            this->store.accept(stored.config);
            return boost::leaf::new_error(RevisionConflict{baseRevision, newest});
        }
        // A stored state older than the one in force is overwritten as well: the base that the operator read is in
        // force, and the comparison protects against a write in between.
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(written, this->write(wanted, stored.modRevision));
                LogLine("config-write").add("revision", wanted.revision).add("written", written).write();
                return {};
            },
            [](const KeyValueUnavailable &failure) {
                LogLine("config-write-unanswered").add("detail", failure.detail).warn();
            },
            [] {});
        // Whether the write succeeded, lost against another or was not answered, what is stored now decides.
        BOOST_LEAF_ASSIGN(stored, this->read());
    }
    BOOST_LEAF_AUTO(done, this->findStored(stored, wanted));
    if (!done) {
        return boost::leaf::new_error(KeyValueUnavailable{"the change could not be stored"});
    }
    this->store.accept(*done);
    return done->revision;
}

boost::leaf::result<std::vector<std::string>> ConfigSync::history()
{
    BOOST_LEAF_AUTO(entries, this->client.getPrefix(HistoryPrefix, static_cast<int>(HistoryLength)));
    std::vector<std::pair<std::uint64_t, std::string>> found;
    for (const KeyValueEntry &entry : entries) {
        found.emplace_back(parseStored(entry.value).revision, entry.value);
    }
    std::sort(found.rbegin(), found.rend());
    std::vector<std::string> texts;
    for (auto &[revision, text] : found) {
        texts.push_back(std::move(text));
    }
    return texts;
}

}
