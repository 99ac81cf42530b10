#include "peersocket.h"

#include "asioutil.h"
#include "encodedreport.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>

namespace Cyclamen
{

PeerSocket::PeerSocket(RouterState &state)
    : state(state)
    , socket(state.executor)
{
}

bool PeerSocket::open()
{
    const auto endpoint = toUdpEndpoint(this->state.settings.peerAddress);
    if (!endpoint) {
        return false;
    }
    boost::system::error_code error;
    this->socket.open(endpoint->protocol(), error);
    if (!error) {
        this->socket.bind(*endpoint, error);
    }
    if (error) {
        LogLine("listen-failed")
            .add("address", this->state.settings.peerAddress)
            .add("detail", error.message())
            .error();
    }
    return !error;
}

boost::asio::awaitable<void> PeerSocket::receive()
{
    std::string buffer(MaxDatagramBytes, '\0');
    boost::asio::ip::udp::endpoint sender;
    while (true) {
        boost::system::error_code error;
        const std::size_t count =
            co_await this->socket.async_receive_from(boost::asio::buffer(buffer), sender, awaitableWithError(error));
        if (error) {
            // Sending to an unreachable peer may fail the next receive; no datagram was read then.
            co_await sleepFor(ReportPause);
            continue;
        }
        PeerReport report;
        if (decodePeerReport(buffer.substr(0, count), report)) {
            this->state.applyReport(report, Clock::now());
            this->state.metrics.count("cyclamencross_peer_reports_total", {{"result", "received"}});
        } else {
            this->state.metrics.count("cyclamencross_peer_reports_total", {{"result", "malformed"}});
        }
    }
}

boost::asio::awaitable<void> PeerSocket::send()
{
    while (true) {
        co_await sleepFor(ReportPause);
        this->state.work->expire(Clock::now());
        this->state.waiting->expire(Clock::now());
        if (const auto groupReport = this->state.takeGroupReport(Clock::now())) {
            EncodedReport encoded(*groupReport);
            this->sendTo(this->state.otherDelegates(), encoded);
        }
        const auto report = this->state.takeReport(Clock::now());
        if (!report) {
            continue;
        }
        const std::vector<RouterMember> lapsed = this->state.lapsedPeers(Clock::now());
        EncodedReport encoded(*report);
        this->sendTo(this->state.groupPeers(), encoded);
        this->sendTo(lapsed, encoded);
        if (report->changes.upTo != StoreRevision()) {
            LogLine("changes-sent")
                .add("after", report->changes.after.number())
                .add("up_to", report->changes.upTo.number())
                .add("generation", report->changes.upTo.generation())
                .add("items", std::uint64_t(report->changes.items.size()))
                .add("datagram_bytes", std::uint64_t(encoded.body(PeerReport::Format).size()))
                .add("peers", std::uint64_t(this->state.groupPeers().size() + lapsed.size()))
                .write();
        }
        if (const auto news = RouterState::crashNews(*report)) {
            EncodedReport encodedNews(*news);
            this->sendTo(this->state.otherGroupsRouters(), encodedNews);
        }
    }
}

void PeerSocket::sendTo(const std::vector<RouterMember> &routers, EncodedReport &report)
{
    for (const RouterMember &member : routers) {
        const auto endpoint = toUdpEndpoint(member.peerAddress);
        if (member.name == this->state.settings.name || !endpoint) {
            continue;
        }
        const std::string &body = report.body(std::min(member.reportFormat, PeerReport::Format));
        const std::string bytes = withClockOffset(body, this->state.clockOffset(member));
        boost::system::error_code error;
        this->socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, error);
        if (error) {
            // A later report replaces this one; the metric shows a lasting fault.
            this->state.metrics.count("cyclamencross_peer_reports_total", {{"result", "not-sent"}});
            continue;
        }
        this->state.metrics.count("cyclamencross_peer_sent_bytes_total", {}, double(bytes.size()));
    }
}

}
