#include "plumfold/core/plumfold_stream_origin.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <vector>

using namespace plumfold::core;

namespace {

const instant start = instant() + std::chrono::hours(1);
const stream_origin first { "pool", "v1" };
const stream_origin second { "pool", "v2" };

} // namespace

TEST_CASE("Streams of two customers have different numbers, even with one request id", "[stream_origin]")
{
    CHECK(streamNumber("espuma", "r1") != streamNumber("samvinna", "r1"));
    CHECK(streamNumber("espuma", "r1") == streamNumber("espuma", "r1"));
}

TEST_CASE("The origin of a stream is known until its caller's deadline", "[stream_origin]")
{
    stream_origin_table table(10);
    table.record({ 1, first, milliseconds(500) }, start);
    CHECK(table.find(1, start + milliseconds(499)) == first);
    CHECK_FALSE(table.find(1, start + milliseconds(500)));
    CHECK_FALSE(table.find(2, start));
    table.record({ 2, first, milliseconds(500) }, start + milliseconds(600));
    CHECK(table.size() == 1);
}

TEST_CASE("A stream that is recorded with two origins is unknown", "[stream_origin]")
{
    stream_origin_table table(10);
    table.record({ 1, first, milliseconds(500) }, start);
    table.record({ 1, first, milliseconds(900) }, start);
    CHECK(table.find(1, start + milliseconds(800)) == first);
    table.record({ 1, second, milliseconds(500) }, start);
    CHECK_FALSE(table.find(1, start));
}

TEST_CASE("A full table drops the streams that expire first", "[stream_origin]")
{
    stream_origin_table table(2);
    table.record({ 1, first, milliseconds(900) }, start);
    table.record({ 2, first, milliseconds(500) }, start);
    table.record({ 3, first, milliseconds(700) }, start);
    CHECK(table.size() == 2);
    CHECK_FALSE(table.find(2, start));
    CHECK(table.find(1, start) == first);
    CHECK(table.find(3, start) == first);
}

TEST_CASE("A table never finds another origin than the recorded one", "[stream_origin]")
{
    rc::prop("any order of records", [] {
        stream_origin_table table(8);
        std::map<std::uint64_t, std::vector<stream_origin>> recorded;
        auto now = start;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, bool, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 1'000)));
        for (const auto& [stream, isSecond, time] : steps) {
            auto number = static_cast<std::uint64_t>(stream);
            table.record({ number, isSecond ? second : first, milliseconds(time) }, now);
            recorded[number].push_back(isSecond ? second : first);
            now += milliseconds(time / 4);
            RC_ASSERT(table.size() <= 8u);
            for (const auto& [each, origins] : recorded) {
                auto found = table.find(each, now);
                RC_ASSERT(!found || std::find(origins.begin(), origins.end(), *found) != origins.end());
            }
        }
    });
}

TEST_CASE("A stream that no control VM knows goes on only if one version alone can have begun it",
    "[stream_origin]")
{
    const std::set<std::string> members { "c1", "c2", "c3" };
    origin_search search("pool");
    search.addAnswer("c1", { std::nullopt, { "v1" }, members });
    search.addAnswer("c2", { std::nullopt, { "v1" }, members });
    CHECK_FALSE(search.result()); // c3 may have heard of another version
    SECTION("all have heard of one version")
    {
        search.addAnswer("c3", { std::nullopt, { "v1" }, members });
        CHECK(search.result() == first);
    }
    SECTION("one has heard of another version")
    {
        search.addAnswer("c3", { std::nullopt, { "v1", "v2" }, members });
        CHECK_FALSE(search.result());
    }
    SECTION("one has a member that has not answered")
    {
        search.addAnswer("c3", { std::nullopt, { "v1" }, { "c1", "c2", "c3", "c4" } });
        CHECK_FALSE(search.result());
    }
    SECTION("one knows the stream")
    {
        search.addAnswer("c3", { second, { "v1", "v2" }, members });
        CHECK(search.known() == second);
        CHECK(search.result() == second);
    }
}

TEST_CASE("Without an answer or an announced version, a stream's version is unknown", "[stream_origin]")
{
    origin_search search("pool");
    CHECK_FALSE(search.result());
    search.addAnswer("c1", { std::nullopt, { "" }, { "c1" } });
    CHECK_FALSE(search.result());
    origin_search ambiguousService("");
    ambiguousService.addAnswer("c1", { std::nullopt, { "v1" }, { "c1" } });
    CHECK_FALSE(ambiguousService.result());
}

// Guards against streams that are lost when a second software version joins while they run.
TEST_CASE("The records of a service hold its known streams that have not expired", "[stream_origin]")
{
    stream_origin_table table(10);
    table.record({ 1, { "shop", "v1" }, milliseconds(1'000) }, start);
    table.record({ 2, { "shop", "v2" }, milliseconds(5'000) }, start);
    table.record({ 3, { "desk", "v1" }, milliseconds(5'000) }, start);
    table.record({ 4, { "shop", "v1" }, milliseconds(5'000) }, start);
    table.record({ 4, { "shop", "v2" }, milliseconds(5'000) }, start); // ambiguous
    auto records = table.recordsOf("shop", start + milliseconds(2'000));
    CHECK(records == std::vector<stream_record> { { 2, { "shop", "v2" }, milliseconds(3'000) } });
    CHECK(table.recordsOf("other", start).empty());
}
