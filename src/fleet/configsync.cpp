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

// A write whose response was lost is retried; the compare-and-swap prevents it from taking effect twice.
constexpr int MaxWriteAttempts = 3;

std::string historyKey(std::uint64_t revision)
{
    return ConfigSync::HistoryPrefix + std::to_string(revision % ConfigSync::HistoryLength);
}

// Change id and author are inserted into the INI text, so they must not start a new line or a comment.
bool isPlainText(const std::string &text)
{
    return !text.empty() && text.size() <= 200 && text.front() != ' ' && text.back() != ' '
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= ' ' && c != ';' && c != 0x7F; });
}

// An unreadable stored value is treated like a missing one: revision 0.
FleetConfig parseStoredConfig(const std::string &text)
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
        stored.config = parseStoredConfig(found.entry->value);
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

bool ConfigSync::acceptEntry(const KeyValueEntry &entry)
{
    const FleetConfig config = parseStoredConfig(entry.value);
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

boost::leaf::result<std::optional<FleetConfig>> ConfigSync::findStoredChange(const Stored &stored,
                                                                             const FleetConfig &change)
{
    if (stored.config.changeId == change.changeId) {
        return std::optional(stored.config);
    }
    if (stored.config.revision <= change.revision) {
        return std::optional<FleetConfig>();
    }
    // A later change may already have replaced it under CurrentKey.
    BOOST_LEAF_AUTO(historic, this->client.get(historyKey(change.revision)));
    if (historic.entry) {
        FleetConfig config = parseStoredConfig(historic.entry->value);
        if (config.changeId == change.changeId) {
            return std::optional(std::move(config));
        }
    }
    return std::optional<FleetConfig>();
}

boost::leaf::result<std::uint64_t> ConfigSync::apply(const std::string &text, std::uint64_t baseRevision,
                                                     const std::string &changeId, const std::string &author)
{
    for (const auto &[key, value] : {std::pair("id", changeId), std::pair("author", author)}) {
        if (!isPlainText(value)) {
            return boost::leaf::new_error(
                InvalidSetting{"change", 0, key, "up to 200 characters of plain text without a semicolon"});
        }
    }
    BOOST_LEAF_AUTO(change, parseConfig(text, "change"));
    change.revision = baseRevision + 1;
    change.changeId = changeId;
    change.author = author;
    for (FleetException &exception : change.exceptions) {
        exception.author = exception.author.empty() ? author : exception.author;
    }
    if (formatConfig(change).size() > MaxConfigBytes) {
        return boost::leaf::new_error(InvalidSetting{"change", 0, "", "a configuration of at most 1 MB"});
    }
    BOOST_LEAF_AUTO(stored, this->read());
    for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        BOOST_LEAF_AUTO(committed, this->findStoredChange(stored, change));
        if (committed) {
            this->store.accept(*committed);
            return committed->revision;
        }
        const auto current = this->store.current();
        const std::uint64_t newest = std::max(stored.config.revision, current->revision);
        if (newest != baseRevision) {
            this->store.accept(stored.config);
            return boost::leaf::new_error(RevisionConflict{baseRevision, newest});
        }
        // A stored configuration older than the one in force is overwritten as well: the operator's base revision is in
        // force, and the compare-and-swap detects concurrent writes.
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(written, this->write(change, stored.modRevision));
                LogLine("config-write").add("revision", change.revision).add("written", written).write();
                return {};
            },
            [](const KeyValueUnavailable &failure) {
                LogLine("config-write-unanswered").add("detail", failure.detail).warn();
            },
            [] {});
        // The write may have succeeded, conflicted or had no response; only the stored state tells which.
        BOOST_LEAF_ASSIGN(stored, this->read());
    }
    BOOST_LEAF_AUTO(committed, this->findStoredChange(stored, change));
    if (!committed) {
        return boost::leaf::new_error(KeyValueUnavailable{"the change could not be stored after several attempts"});
    }
    this->store.accept(*committed);
    return committed->revision;
}

boost::leaf::result<std::vector<std::string>> ConfigSync::history()
{
    BOOST_LEAF_AUTO(entries, this->client.getPrefix(HistoryPrefix, static_cast<int>(HistoryLength)));
    std::vector<std::pair<std::uint64_t, std::string>> found;
    for (const KeyValueEntry &entry : entries) {
        found.emplace_back(parseStoredConfig(entry.value).revision, entry.value);
    }
    std::sort(found.rbegin(), found.rend());
    std::vector<std::string> texts;
    for (auto &[revision, text] : found) {
        texts.push_back(std::move(text));
    }
    return texts;
}

}
