#include "plumfold/core/plumfold_target_directory.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start {};
constexpr milliseconds silenceTimeout { 6'000 };

target_announcement shop(std::uint64_t startedAt, std::uint64_t sequence)
{
    target_announcement out;
    out.name = "t1";
    out.service = "shop";
    out.startedAt = startedAt;
    out.sequence = sequence;
    return out;
}

} // namespace

TEST_CASE("Stale announcements and those of an earlier incarnation are ignored", "[target_directory]")
{
    target_directory directory;
    CHECK(directory.apply(shop(100, 5), true, start));
    CHECK_FALSE(directory.apply(shop(100, 4), true, start));
    CHECK_FALSE(directory.apply(shop(90, 50), true, start));
    CHECK(directory.apply(shop(110, 1), true, start));
    CHECK(directory.entries().at("t1").last.startedAt == 110);
}

TEST_CASE("A leaving target does not become ready again in the same incarnation", "[target_directory]")
{
    target_directory directory;
    directory.apply(shop(100, 1), true, start);
    CHECK(directory.markLeaving("t1", start));
    directory.apply(shop(100, 2), true, start);
    CHECK(directory.entries().at("t1").last.state == target_state::leaving);
    directory.apply(shop(200, 1), true, start);
    CHECK(directory.entries().at("t1").last.state == target_state::ready);
}

TEST_CASE("A target becomes silent after the timeout and ready again with its next announcement",
    "[target_directory]")
{
    target_directory directory;
    directory.apply(shop(100, 1), true, start);
    auto later = start + milliseconds(7'000);
    CHECK(directory.detectSilent(later, silenceTimeout) == std::vector<std::string> { "t1" });
    auto change = directory.latestChange();
    directory.apply(shop(100, 2), true, later);
    CHECK(directory.changedAfter(change).size() == 1);
    CHECK(directory.entries().at("t1").last.state == target_state::ready);
}

TEST_CASE("A target has ended once a later one is announced at its address", "[target_directory]")
{
    target_directory directory;
    auto announce
        = [&](const char* name, const char* address, std::uint64_t startedAt, std::uint64_t sequence) {
              auto next = shop(startedAt, sequence);
              next.name = name;
              next.address = address;
              directory.apply(next, true, start);
          };
    auto isReady
        = [&](const char* name) { return directory.entries().at(name).last.state == target_state::ready; };
    announce("former", "10.0.0.1:80", 100, 1);
    announce("elsewhere", "10.0.0.2:80", 100, 1);
    auto change = directory.latestChange();
    announce("later", "10.0.0.1:80", 200, 1);
    CHECK_FALSE(isReady("former"));
    CHECK(directory.changedAfter(change).size() == 2);
    announce("former", "10.0.0.1:80", 100, 2); // delayed on its way
    CHECK_FALSE(isReady("former"));
    CHECK(isReady("later"));
    CHECK(isReady("elsewhere"));
}

TEST_CASE("Targets are not marked silent for time in which the control VM was stalled", "[target_directory]")
{
    target_directory directory;
    directory.apply(shop(100, 1), true, start);
    auto later = start + milliseconds(7'000);
    directory.restartAnnouncementTimeouts(later);
    CHECK(directory.detectSilent(later, silenceTimeout).empty());
    CHECK(directory.detectSilent(later + milliseconds(7'000), silenceTimeout).size() == 1);
}

TEST_CASE(
    "A target that becomes cold again during its cold start counts as changed", "[target_directory][cold]")
{
    auto withColdTime = [](std::uint64_t sequence, int ms) {
        auto out = shop(100, sequence);
        out.coldFor = milliseconds(ms);
        return out;
    };
    target_directory directory;
    directory.apply(withColdTime(1, 3'000), true, start);
    auto change = directory.latestChange();
    directory.apply(withColdTime(2, 1'800), true, start + milliseconds(1'200));
    CHECK(directory.latestChange() == change);
    directory.apply(withColdTime(3, 3'000), true, start + milliseconds(2'400));
    CHECK(directory.latestChange() > change);
}
