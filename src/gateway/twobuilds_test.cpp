#include "containmentcodec.h"
#include "leadership.h"
#include "memberrecord.h"
#include "peerreport.h"
#include "stageplancodec.h"
#include "versioncodec.h"

#include "cyclamencross/base/base64.h"

#include <cstdint>
#include <string>

#include <catch2/catch.hpp>
#include <zlib.h>

// While routers are replaced, those of 72bc030 and of this build read each other's reports and records in the store.
// The fixtures are bytes that a program linked against the libraries of 72bc030 has written.

using namespace Cyclamen;

namespace
{

// Base64 of datagrams.
const std::string OldFull =
    "AQFeAAAAAAAAAAF0AAAAAAAAAE0AAAAAAAAAeAFjVGBmAAMdKM3IBOEzcELp/AL95Py8tMx0XqhAtVJYalFxZn6ekpVxrSpUG4MQ"
    "VLY4tagMKK2fqWueZpxoaZhsBJVggNsAAP4tDuloAAAAAAAAAHtcJgUAAAAAAAABAAAAAAAAAAIAAAAAAAAAZTMEAAAAAAAAABQF"
    "AAAAAAAAAQAAAAAAAAAUAAAAAAAAACwBAAAAAAAAoA8AAAAAAABQwwAAAAAAAMAnCQAAAAAAwM9qAAAAAAD4/////////wkAAAAA"
    "AAAAAQAAAAAAAAADAAAAAAAAAGxsbQIAAAAAAAAABQAAAAAAAAAAAAAAAAD4PwAAAAAAAOQ/AQEAAAAAAAAAAgAAAAAAAABlNAUA"
    "AAAAAAAAeAUAAAAAAAABAAAAAAAAABQAAAAAAAAALAEAAAAAAACgDwAAAAAAAFDDAAAAAAAAwCcJAAAAAADAz2oAAAAAAPj/////"
    "////CQAAAAAAAAACAAAAAAAAAHIxFU3sEyaKfhgsAQAAAAAAACwDAAAAAAAAAgAAAAAAAAACAAAAAAAAAGUxAwAAAAAAAACwBAAA"
    "AAAAAAEAAAAAAAAAFAAAAAAAAAAsAQAAAAAAAKAPAAAAAAAAUMMAAAAAAADAJwkAAAAAAMDPagAAAAAA+P////////8JAAAAAAAA"
    "AAIAAAAAAAAAZTL//////////wcAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAQAAAAAAAAADAAAAAAAAAGxsbQYAAAAAAAAA3AUAAAAAAAABAAAAAAAAABQAAAAAAAAA"
    "LAEAAAAAAACgDwAAAAAAAFDDAAAAAAAAwCcJAAAAAADAz2oAAAAAAPj/////////CQAAAAAAAAABAAAAAAAAAAQAAAAAAAAAYXBw"
    "MAkAAAAAAAAAAQAAAAAAAAAEAAAAAAAAAGFwcDEAAAAAAAD8Pw4AAAAAAAAAAQAAAAAAAAAEAAAAAAAAAGFwcDIAAAAAAAAEQBAA"
    "AAAAAAAAAQAAAAAAAAAEAAAAAAAAAGFwcDMOAAAAAAAAADEyNy4wLjAuMTo4MDgwe7Iy8poBAAARAAAAAAAAABIAAAAAAAAAAQAA"
    "AAAAAAAEAAAAAAAAAGFwcDQTAAAAFAAAABUAAAAWAAAAAAAAAACAN0ABAAAAAAAAAAUAAAAAAAAAcm91dGUDAAAAAAAAAGxsbRgA"
    "AAAAAAAAGQAAAAAAAAAAAAAAAIA6QAEAAAAAAAAAGwAAAAAAAAACAAAAAAAAAGU1AQAAAAAAAAANAAAAAAAAAHBhcnQ6NWMxZTA3"
    "YTIBHAAAAAAAAAAdAAAAAAAAAB4AAAAAAAAAAQAAAAAAAAANAAAAAAAAAHBhcnQ6OTFiZDNmMDYfAAAAAAAAACAAAAAAAAAABwAA"
    "AAEAAAAAAAAACwAAAAAAAAAAKGvuAADAPwAAIEAIAAAAAQAAAAAAAAAMAAAAAAAAAA0AAAAAAGBAAACQQAEAAAAAAAAAAgAAAAAA"
    "AAB2MgEAAAAAAAAAAQCkHe4h7OuYOgAAAAAAAAIAAAAAAAAAAwAAAAAAAABhcHADAAAAAAAAAGxsbdb/////////";
const std::string OldWithoutChanges =
    "AQEAAAAAAAAAAGgAAAAAAAAAe1wmBQAAAAAAAAEAAAAAAAAAAgAAAAAAAABlMwQAAAAAAAAAFAUAAAAAAAABAAAAAAAAABQAAAAA"
    "AAAALAEAAAAAAACgDwAAAAAAAFDDAAAAAAAAwCcJAAAAAADAz2oAAAAAAPj/////////CQAAAAAAAAABAAAAAAAAAAMAAAAAAAAA"
    "bGxtAgAAAAAAAAAFAAAAAAAAAAAAAAAAAPg/AAAAAAAA5D8BAQAAAAAAAAACAAAAAAAAAGU0BQAAAAAAAAB4BQAAAAAAAAEAAAAA"
    "AAAAFAAAAAAAAAAsAQAAAAAAAKAPAAAAAAAAUMMAAAAAAADAJwkAAAAAAMDPagAAAAAA+P////////8JAAAAAAAAAAIAAAAAAAAA"
    "cjEVTewTJop+GCwBAAAAAAAALAMAAAAAAAACAAAAAAAAAAIAAAAAAAAAZTEDAAAAAAAAALAEAAAAAAAAAQAAAAAAAAAUAAAAAAAA"
    "ACwBAAAAAAAAoA8AAAAAAABQwwAAAAAAAMAnCQAAAAAAwM9qAAAAAAD4/////////wkAAAAAAAAAAgAAAAAAAABlMv//////////"
    "BwAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "AAAAAAABAAAAAAAAAAMAAAAAAAAAbGxtBgAAAAAAAADcBQAAAAAAAAEAAAAAAAAAFAAAAAAAAAAsAQAAAAAAAKAPAAAAAAAAUMMA"
    "AAAAAADAJwkAAAAAAMDPagAAAAAA+P////////8JAAAAAAAAAAEAAAAAAAAABAAAAAAAAABhcHAwCQAAAAAAAAABAAAAAAAAAAQA"
    "AAAAAAAAYXBwMQAAAAAAAPw/DgAAAAAAAAABAAAAAAAAAAQAAAAAAAAAYXBwMgAAAAAAAARAEAAAAAAAAAABAAAAAAAAAAQAAAAA"
    "AAAAYXBwMw4AAAAAAAAAMTI3LjAuMC4xOjgwODB7sjLymgEAABEAAAAAAAAAEgAAAAAAAAABAAAAAAAAAAQAAAAAAAAAYXBwNBMA"
    "AAAUAAAAFQAAABYAAAAAAAAAAIA3QAEAAAAAAAAABQAAAAAAAAByb3V0ZQMAAAAAAAAAbGxtGAAAAAAAAAAZAAAAAAAAAAAAAAAA"
    "gDpAAQAAAAAAAAAbAAAAAAAAAAIAAAAAAAAAZTUBAAAAAAAAAA0AAAAAAAAAcGFydDo1YzFlMDdhMgEcAAAAAAAAAB0AAAAAAAAA"
    "HgAAAAAAAAABAAAAAAAAAA0AAAAAAAAAcGFydDo5MWJkM2YwNh8AAAAAAAAAIAAAAAAAAAAHAAAAAQAAAAAAAAALAAAAAAAAAAAo"
    "a+4AAMA/AAAgQAgAAAABAAAAAAAAAAwAAAAAAAAADQAAAAAAYEAAAJBAAQAAAAAAAAACAAAAAAAAAHYyAQAAAAAAAAABAKQd7iHs"
    "65g6AAAAAAAAAgAAAAAAAAADAAAAAAAAAGFwcAMAAAAAAAAAbGxt1v////////8=";
const std::string OldGroup =
    "AQAAAAAAAAAAAP//////////AAAAAAAAAAAAAQEAAAAAAAAAAgAAAAAAAABlMQEAAAAAAAAAAgAAAAAAAAADAAAAAAAAAAMAAAAA"
    "AAAAAwAAAAAAAAADAAAAAAAAAAMAAAAAAAAAAwAAAAAAAAADAAAAAAAAAAMAAAAAAAAAAwAAAAAAAAABAAAAAAAAAAMAAAAAAAAA"
    "bGxtAQAAAAAAAAACAAAAAAAAAAAAAAAAAOA/AAAAAAAA0D8AAAAAAAAAAAACAAAAAAAAAHIyBQAAAAAAAAAGAAAAAAAAAAAAAAAA"
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "AAAAAAAAAAAJAAAAAQAAAAAAAAAKAAAAAAAAAAsAAAAAAAA/AACAPgAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "gA==";
const std::string OldCrashNews =
    "AQAAAAAAAAAAAP//////////AAAAAAAAAAABAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAACAAAAAAAAAHIzBwAAAAAAAAAAAAAA"
    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "AAEAAAAAAAAACAAAAAAAAAACAAAAAAAAAGUxAQAAAAAAAAAJAAAAAAAAAHJlcXVlc3Q6MQAJAAAAAAAAAAoAAAAAAAAAAAAAAAAA"
    "AAABAAAAAAAAAAYAAAAAAAAAcGFydDphCwAAAAAAAAAMAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
    "AAAAAAAAAAAAAAAAgA==";

// Every field has a value of its own, so that two that are exchanged are seen.
PeerReport fullReport(const StoreChanges &changes)
{
    const KvCacheForecast forecast(KvCacheForecast::Tokens{1, 20, 300, 4000, 50000, 600000, 7000000, -8, 9});
    PeerReport report;
    report.router = "r1";
    report.incarnation = 1765000000123456789;
    report.sequence = 300;
    report.storeRevision = 812;
    report.watching = true;
    report.changesKnownAge = Millis(104);
    report.sentAt = Millis(86400123);
    report.clockOffset = Millis(-42);
    report.changes = changes;
    report.cutOff = {"app", "llm"};
    report.work = {{"e1", BackendWork{3, 1200, forecast}}, {"e2", BackendWork{-1, 7, KvCacheForecast()}}};
    report.groupWork = {{"e3", BackendWork{4, 1300, forecast}}};
    report.stageLoads = {{"llm", StageLoad{2, 5, 1.5, 0.625}}};
    report.otherGroupsWork = {{"e4", BackendWork{5, 1400, forecast}}};
    report.knowsOtherGroups = true;
    report.quota = QuotaReport{7, {QuotaUsage{11, 4000000000, 1.5F, 2.5F}}};
    report.otherGroupsQuota = QuotaReport{8, {QuotaUsage{12, 13, 3.5F, 4.5F}}};
    report.waiting = {{"llm", BackendWork{6, 1500, forecast}}};
    report.reportedCalls = {{"app0", 9}};
    report.slowdowns = {{"app1", ToldSlowdown{1.75, Millis(14)}}};
    report.streamOrigins = {{"v2", {StreamOrigin{17000000000000000001U, Millis(15000)}}}};
    report.namedLimits = {{"app2", NamedLimit{2.5, Millis(16)}}};
    report.statements = {{"app3", StatementNews{"127.0.0.1:8080", 1765000000123, Millis(17), Millis(18)}}};
    report.outcomes = {{"app4", PeerReport::Outcomes{19, 20, 21, 22, 23.5}}};
    report.streams = {StreamSample{"route", "llm", 24, 25, 26.5}};
    report.crashes = {CrashedCall{27, "e5", {CrashSuspect{"part:5c1e07a2", true}}, Millis(28), Millis(29), Millis(30)}};
    report.servedSuspects = {ServedSuspect{"part:91bd3f06", Millis(31), Millis(32)}};
    return report;
}

StoreChanges someChanges()
{
    return StoreChanges{
        800,
        812,
        true,
        {StoreItem{"op/config", R"({"Version":3})", 805, false}, StoreItem{"servers/i-7f3a91c2", "", 812, true}}};
}

PeerReport groupReport()
{
    PeerReport report;
    report.router = "r2";
    report.incarnation = 5;
    report.sequence = 6;
    report.isGroupReport = true;
    report.groupWork = {{"e1", BackendWork{1, 2, KvCacheForecast::constant(3)}}};
    report.stageLoads = {{"llm", StageLoad{1, 2, 0.5, 0.25}}};
    report.quota = QuotaReport{9, {QuotaUsage{10, 11, 0.5F, 0.25F}}};
    return report;
}

PeerReport crashNews()
{
    PeerReport report;
    report.router = "r3";
    report.incarnation = 7;
    report.isCrashNews = true;
    report.crashes = {CrashedCall{8, "e1", {CrashSuspect{"request:1", false}}, Millis(9), Millis(10), Millis(0)}};
    report.servedSuspects = {ServedSuspect{"part:a", Millis(11), Millis(12)}};
    return report;
}

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr std::int64_t UnixNow = 1765000000;

StagePlan stagePlan()
{
    return StagePlan{{{"e1", EngineStage::Prefill}, {"e2", EngineStage::Decode}}};
}

std::map<std::string, Containment> containments()
{
    return {{"part:5c1e07a2", Containment{Now - Millis(3000), Millis(60000), TimePoint(), Millis(250)}}};
}

ServiceVersions serviceVersions()
{
    return ServiceVersions(
        {{"llm", {{"v1", ServiceVersions::State::Open}, {"v2", ServiceVersions::State::Announced}}}});
}

StreamOriginsByVersion streamOrigins()
{
    return {{"v1", {StreamOrigin{17000000000000000001U, Millis(15000)}, StreamOrigin{2, Millis(3)}}}};
}

std::string bytesOf(const std::string &base64)
{
    return *fromBase64(base64);
}

// Takes eight bytes of a number, the lowest first, from the place given, and moves that behind them.
std::size_t takeNumber(const std::string &bytes, std::size_t &place)
{
    std::uint64_t number = 0;
    REQUIRE(place + sizeof number <= bytes.size());
    for (std::size_t i = 0; i < sizeof number; ++i) {
        number |= std::uint64_t(std::uint8_t(bytes[place + i])) << (8 * i);
    }
    place += sizeof number;
    return std::size_t(number);
}

// Returns a datagram of format 0 with its changes unpacked, since releases of zlib compress to different bytes.
std::string unpacked(const std::string &datagram)
{
    std::size_t place = 2; // After the byte order and `watching`.
    const std::size_t packedSize = takeNumber(datagram, place);
    const std::string rest = datagram.substr(place + packedSize);
    if (packedSize == 0) {
        return datagram;
    }
    const std::string packed = datagram.substr(place, packedSize);
    std::size_t inner = 1; // After the byte order.
    std::string plain(takeNumber(packed, inner), '\0');
    const std::size_t compressedSize = takeNumber(packed, inner);
    REQUIRE(inner + compressedSize == packed.size());
    uLongf size = uLongf(plain.size());
    REQUIRE(uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
                       reinterpret_cast<const Bytef *>(packed.data() + inner), uLong(compressedSize))
            == Z_OK);
    REQUIRE(size == plain.size());
    return datagram.substr(0, 2) + plain + rest;
}

PeerReport decoded(const std::string &bytes)
{
    PeerReport report;
    REQUIRE(decodePeerReport(bytes, report));
    return report;
}

// Returns a report as it is after a way in format 0.
PeerReport withoutGenerations(PeerReport report)
{
    report.setGenerations(0, 0, 0);
    report.namesGenerations = false;
    return report;
}

}

TEST_CASE("Reports of 72bc030 are read with all their values")
{
    // Guards against a field that is added, moved or of another type, which routers of the other build misread.
    CHECK(decoded(bytesOf(OldFull)) == withoutGenerations(fullReport(someChanges())));
    CHECK(decoded(bytesOf(OldWithoutChanges)) == withoutGenerations(fullReport(StoreChanges())));
    CHECK(decoded(bytesOf(OldGroup)) == withoutGenerations(groupReport()));
    CHECK(decoded(bytesOf(OldCrashNews)) == withoutGenerations(crashNews()));
}

TEST_CASE("Reports to routers of 72bc030 have the bytes that it writes, whatever the generation of the store")
{
    // Guards against a report that routers of 72bc030 reject or misread.
    const std::uint64_t generation = GENERATE(0, 1, 5, 300);
    PeerReport full = fullReport(someChanges());
    full.setGenerations(generation, generation, generation);
    CHECK(unpacked(encodePeerReport(full, 0)) == unpacked(bytesOf(OldFull)));
    PeerReport plain = fullReport(StoreChanges());
    plain.setGenerations(generation, generation, generation);
    CHECK(encodePeerReport(plain, 0) == bytesOf(OldWithoutChanges));
    CHECK(encodePeerReport(groupReport(), 0) == bytesOf(OldGroup));
    CHECK(encodePeerReport(crashNews(), 0) == bytesOf(OldCrashNews));
}

TEST_CASE("Routers of 72bc030 are not told of changes over a return of the store")
{
    // Guards against a router that applies them by their numbers alone, which have no order over a return.
    PeerReport report = fullReport(someChanges());
    report.setGenerations(5, 4, 5);
    CHECK(encodePeerReport(report, 0) == bytesOf(OldWithoutChanges));
    CHECK(decoded(encodePeerReport(report)) == report);
}

TEST_CASE("Reports with generations differ from those without from the first byte on")
{
    // Guards against a format that is taken for the other one: revisions get a generation that they do not have.
    const std::uint64_t generation = GENERATE(0, 1, 5, 127, 128, 300, std::uint64_t(1) << 62U);
    PeerReport report = fullReport(someChanges());
    report.setGenerations(generation, generation, generation);
    const std::string bytes = encodePeerReport(report);
    CHECK(decoded(bytes) == report);
    // 72bc030 reads the byte order there and accepts 1 only.
    CHECK(bytes.front() != 1);
    CHECK(encodePeerReport(report, 0).front() == 1);
    PeerReport misread;
    CHECK_FALSE(decodePeerReport('\1' + bytes.substr(1), misread));
    CHECK_FALSE(decodePeerReport(bytes.front() + encodePeerReport(report, 0).substr(1), misread));
}

TEST_CASE("Records that routers of 72bc030 write to the store are read, and written likewise")
{
    // Guards against a registration, leader or plan that routers of one build take for malformed.
    const std::string leader = R"({"incarnation":1765000000123456789,"lease":77,"router":"r1"})";
    const StoreRevision revision(3, 812);
    CHECK(decodeLeadership(leader, revision) == Leadership{"r1", 1765000000123456789, 77, revision});
    CHECK(encodeLeadership(Leadership{"r1", 1765000000123456789, 77, revision}) == leader);
    const std::string plan = R"({"engines":{"e1":"prefill","e2":"decode"}})";
    CHECK(decodeStagePlan(plan) == stagePlan());
    CHECK(encodeStagePlan(stagePlan()) == plan);
    const std::string contained =
        R"({"suspects":{"part:5c1e07a2":{"crashed_at":1764999997,"output_ms":250,"period_s":60}}})";
    CHECK(decodeContainments(contained, Now, UnixNow) == containments());
    CHECK(encodeContainments(containments(), Now, UnixNow) == contained);
    const std::string versions = R"({"services":{"llm":{"v1":"open","v2":"announced"}}})";
    CHECK(decodeServiceVersions(versions) == serviceVersions());
    CHECK(encodeServiceVersions(serviceVersions()) == versions);
    const std::string origins = R"({"versions":{"v1":[[17000000000000000001,15000],[2,3]]}})";
    CHECK(decodeStreamOrigins(origins) == streamOrigins());
    CHECK(encodeStreamOrigins(streamOrigins()) == origins);
}

TEST_CASE("Registrations of 72bc030 name format 0 and no generation; new ones have all that it reads")
{
    // Guards against routers that do not find each other, or send a format that the receiver cannot read.
    const std::string old =
        R"({"caller_address":"127.0.0.1:8000","incarnation":1765000000123456789,"peer_address":"127.0.0.1:9000",)"
        R"("zone":"z1"})";
    RouterMember member{"r1", 1765000000123456789, "z1", "127.0.0.1:8000", "127.0.0.1:9000"};
    CHECK(decodeMember("r1", old) == member);
    member.reportFormat = PeerReport::Format;
    member.lowestGeneration = 2;
    // 72bc030 reads the members that it knows by their names and ignores others.
    const std::string withNewMembers =
        R"({"caller_address":"127.0.0.1:8000","incarnation":1765000000123456789,"lowest_generation":2,)"
        R"("peer_address":"127.0.0.1:9000","report_format":1,"zone":"z1"})";
    CHECK(encodeMember(member) == withNewMembers);
    CHECK(decodeMember("r1", withNewMembers) == member);
}
