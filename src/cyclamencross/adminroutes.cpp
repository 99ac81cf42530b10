#include "adminroutes.h"

#include "jsonbody.h"
#include "statusjson.h"

#include "cyclamencross/admin/adminerror.h"
#include "cyclamencross/admin/adminserver.h"
#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/number.h"
#include "cyclamencross/base/processmetrics.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/decide/crashledger.h"
#include "cyclamencross/fleet/configtext.h"

#include <set>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

HttpReply jsonReply(int status, const Json &body)
{
    return HttpReply{
        status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::uint64_t configRevision(const FleetViewPtr &view)
{
    return view->config ? view->config->revision : 0;
}

Json configJson(const AdminHooks &hooks)
{
    // The view and the text are read separately. If the revision changed in between, both are read again.
    FleetViewPtr view = hooks.view();
    std::string text = hooks.configText();
    for (FleetViewPtr later = hooks.view(); configRevision(later) != configRevision(view); later = hooks.view()) {
        view = std::move(later);
        text = hooks.configText();
    }
    return Json{{"revision", configRevision(view)},
                {"change_id", view->config ? view->config->changeId : ""},
                {"author", view->config ? view->config->author : ""},
                {"text", text}};
}

Json revisionJson(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Json> {
            BOOST_LEAF_AUTO(config, parseConfig(text, ""));
            return Json{{"revision", config.revision},
                        {"change_id", config.changeId},
                        {"author", config.author},
                        {"text", text}};
        },
        // A stored text that this version can't parse must not hide the rest of the history.
        [&] {
            return Json{{"revision", 0}, {"change_id", ""}, {"author", ""}, {"text", text}};
        });
}

HttpReply listHistory(const AdminHooks &hooks)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<HttpReply> {
            BOOST_LEAF_AUTO(texts, hooks.configHistory());
            Json body{{"revisions", Json::array()}};
            for (const std::string &text : texts) {
                body["revisions"].push_back(revisionJson(text));
            }
            return jsonReply(200, body);
        },
        [](const KeyValueUnavailable &error) {
            return adminRefusal(503, "key-value-unavailable", "the key-value service did not answer: " + error.detail);
        },
        [] { return adminRefusal(500, "internal", "the history could not be read"); });
}

HttpReply conflictReply(const AdminHooks &hooks, const RevisionConflict &conflict)
{
    HttpReply reply = adminRefusal(409, "revision-conflict",
                                   "the change is based on revision " + std::to_string(conflict.expected)
                                       + ", but revision " + std::to_string(conflict.found) + " is stored");
    Json body = Json::parse(reply.body);
    body["current"] = configJson(hooks);
    reply.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

HttpReply applyConfig(const AdminHooks &hooks, const HttpRequest &request)
{
    const Json body = parseBody(request.body);
    const std::string changeId = stringMember(body, "change_id");
    const std::string author = stringMember(body, "author");
    if (!jsonMember(body, "text").is_string() || !jsonMember(body, "base_revision").is_number_unsigned()
        || changeId.empty() || author.empty()) {
        return adminRefusal(400, "invalid-request", "expected text, base_revision, change_id and author");
    }
    const std::uint64_t base = uintMember(body, "base_revision");
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<HttpReply> {
            BOOST_LEAF_AUTO(revision, hooks.applyConfig(stringMember(body, "text"), base, changeId, author));
            LogLine("config-applied")
                .add("revision", revision)
                .add("base", base)
                .add("change", changeId)
                .add("author", author)
                .write();
            return jsonReply(200, Json{{"revision", revision}, {"change_id", changeId}});
        },
        [&](const RevisionConflict &conflict) { return conflictReply(hooks, conflict); },
        [](const InvalidSetting &error) {
            return adminRefusal(400, "invalid-setting",
                                "line " + std::to_string(error.line) + ": " + error.key + ": expected "
                                    + error.expected);
        },
        [](const KeyValueUnavailable &error) {
            // The write may have taken effect although its reply was lost.
            return adminError(503, RunOutcome::Unknown, "key-value-unavailable",
                              "the key-value service did not answer: " + error.detail);
        },
        [] { return adminError(500, RunOutcome::Unknown, "internal", "the change failed for an unknown reason"); });
}

HttpReply listCrashes(const AdminHooks &hooks)
{
    const std::int64_t now = unixSeconds();
    CrashLedger ledger;
    Json body{{"crashes", Json::array()}, {"contained", Json::array()}};
    std::set<std::uint64_t> fingerprints;
    for (const CrashReport &report : hooks.crashes()) {
        ledger.add(report);
        fingerprints.insert(report.fingerprint);
        body["crashes"].push_back(Json{{"fingerprint", toHex(report.fingerprint)},
                                       {"backend", report.backend},
                                       {"reporter", report.reporter},
                                       {"unix_time", report.unixTime}});
    }
    for (const std::uint64_t fingerprint : fingerprints) {
        if (ledger.isContained(fingerprint, now)) {
            body["contained"].push_back(toHex(fingerprint));
        }
    }
    return jsonReply(200, body);
}

HttpReply liftCrash(const AdminHooks &hooks, const HttpRequest &request)
{
    const auto fingerprint = parseHex(stringMember(parseBody(request.body), "fingerprint"));
    if (!fingerprint) {
        return adminRefusal(400, "invalid-request", "expected fingerprint as hexadecimal digits");
    }
    hooks.liftCrash(*fingerprint);
    LogLine("crash-lifted").add("fingerprint", toHex(*fingerprint)).write();
    return jsonReply(200, Json{{"lifted", toHex(*fingerprint)}});
}

}

void addAdminRoutes(AdminServer &server, AdminHooks hooks)
{
    // Read-only routes need no signature, because the admin port is for operators and peers only.
    const auto sharedHooks = std::make_shared<const AdminHooks>(std::move(hooks));
    server.route("GET", "/admin/status", RouteAccess::Open, [sharedHooks](const HttpRequest &) {
        return HttpReply{200, {{"Content-Type", "application/json"}}, statusJson(*sharedHooks->view())};
    });
    server.route("GET", "/admin/config", RouteAccess::Open,
                 [sharedHooks](const HttpRequest &) { return jsonReply(200, configJson(*sharedHooks)); });
    server.route("GET", "/admin/config/history", RouteAccess::Open,
                 [sharedHooks](const HttpRequest &) { return listHistory(*sharedHooks); });
    server.route("POST", "/admin/config", RouteAccess::Signed,
                 [sharedHooks](const HttpRequest &request) { return applyConfig(*sharedHooks, request); });
    server.route("GET", "/admin/crashes", RouteAccess::Open,
                 [sharedHooks](const HttpRequest &) { return listCrashes(*sharedHooks); });
    server.route("POST", "/admin/crashes/lift", RouteAccess::Signed,
                 [sharedHooks](const HttpRequest &request) { return liftCrash(*sharedHooks, request); });
    server.route("GET", "/peer/config", RouteAccess::Signed, [sharedHooks](const HttpRequest &) {
        std::string text = sharedHooks->configText();
        addControlBytesSent(text.size());
        return HttpReply{200, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
    });
}

}
