// Prints the cost of membership for several fleet sizes. All entries run in this process on a simulated clock and
// network.
#include "datagramcodec.h"
#include "gossipsimulation.h"

#include "cyclamencross/base/logline.h"

#include <cstdio>

#include <easylogging++.h>
#include <malloc.h>

using namespace Cyclamen;

namespace
{

constexpr std::size_t IpAndUdpHeaderBytes = 28;
// Bytes of a datagram besides its sender name and payload: byte order, the lengths of these two, incarnation, sequence,
// kind and keyed hash.
constexpr std::size_t FramingBytes = 1 + 2 * 8 + 8 + 8 + 1 + DatagramCodec::HashBytes;
constexpr Millis ProbePeriod{500};
// Excluded from the measurement, since entries resync more often shortly after joining.
constexpr Millis SettlingTime{30000};
constexpr Millis MeasuredTime{10000};

void measure(std::size_t size)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    GossipSimulation simulation(size, 20261204);
    const DatagramCodec codec("0123456789abcdef0123456789abcdef");
    std::size_t bytes = 0;
    std::size_t largest = 0;
    std::size_t decoded = 0;
    simulation.onSend = [&](const GossipSimulation::Node &, const Datagram &datagram) {
        const std::size_t datagramBytes = FramingBytes + datagram.sender.size() + datagram.payload.size();
        largest = std::max(largest, datagramBytes);
        bytes += datagramBytes + IpAndUdpHeaderBytes;
    };
    // The measured processing time includes encoding and decoding each datagram once.
    simulation.onReceive = [&](const GossipSimulation::Node &, const Datagram &datagram) {
        decoded += codec.decode(codec.encode(datagram)) ? 1 : 0;
    };
    simulation.startAll();
    const auto joined = simulation.runUntil(
        [&] {
            return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                               [size](const auto &node) { return node.membership->members().liveCount() == size; });
        },
        Millis(60000));
    const auto heap = static_cast<double>(mallinfo2().uordblks - heapBefore);
    simulation.run(SettlingTime);
    // The load of every entry changes in each step, as in a busy fleet.
    const double nodes = static_cast<double>(size);
    const double seconds = std::chrono::duration<double>(MeasuredTime).count();
    bytes = 0;
    simulation.processingTime = {};
    for (Millis passed{0}; passed < MeasuredTime; passed += GossipSimulation::Step) {
        for (auto &node : simulation.nodes) {
            node.membership->setLoad(static_cast<std::uint32_t>(simulation.random() % 100));
        }
        simulation.run(GossipSimulation::Step);
    }
    const double sentPerSecond = static_cast<double>(bytes) / seconds / nodes;
    const double busyPerSecond =
        std::chrono::duration<double, std::micro>(simulation.processingTime).count() / seconds / nodes;

    simulation.setRevision(size / 2, 1);
    const auto spread = simulation.runUntil(
        [&] {
            return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                               [](const auto &node) { return node.revision == 1; });
        },
        Millis(60000));
    simulation.nodes[size - 1].membership.reset();
    const auto detected =
        simulation.runUntil([&] { return simulation.allSee(size - 1, MemberState::Dead); }, Millis(120000));
    const auto show = [](const std::optional<Millis> &time) {
        return time ? static_cast<double>(time->count()) / 1000 : -1;
    };
    std::printf("%7zu %12.0f %12zu %12.1f %14.0f %11.1f %10.1f %10.1f\n", size, sentPerSecond, largest, busyPerSecond,
                heap / nodes / nodes, spread ? static_cast<double>(spread->count()) / ProbePeriod.count() : -1,
                show(joined), show(detected));
    std::fflush(stdout);
}

}

// Arguments: fleet sizes to measure; the default sizes are those of the design page.
int main(int argc, char **argv)
{
    setUpLogging("fleetbench");
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
    std::printf("%7s %12s %12s %12s %14s %11s %10s %10s\n", "members", "B/s sent", "largest", "us/s busy",
                "B per member", "cfg rounds", "join s", "dead s");
    std::vector<std::size_t> sizes{16, 64, 200, 670};
    if (argc > 1) {
        sizes.clear();
        std::transform(argv + 1, argv + argc, std::back_inserter(sizes),
                       [](const char *text) { return std::stoul(text); });
    }
    std::for_each(sizes.begin(), sizes.end(), measure);
    return 0;
}
