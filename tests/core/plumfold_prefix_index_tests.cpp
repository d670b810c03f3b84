#include "plumfold/core/plumfold_prefix_index.hpp"
#include "plumfold/core/plumfold_stream_assembly.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

TEST_CASE("The longest prefix held by each target is found", "[prefix]")
{
    prefix_index index(1000);
    index.add("a", { 1, 2, 3 });
    index.add("b", { 1, 2 });
    auto found = index.match({ 1, 2, 3, 4 });
    CHECK(found.at("a") == 3);
    CHECK(found.at("b") == 2);
    index.remove("a");
    CHECK_FALSE(index.match({ 1, 2, 3 }).contains("a"));
}

TEST_CASE("A gap in a target's cache events drops all of its entries", "[prefix][events]")
{
    prefix_index index(1000);
    index.apply({ "a", 1, 0, false, { 1, 2 }, {} });
    index.apply({ "a", 1, 2, false, { 3 }, { 2 } });
    CHECK(index.match({ 1, 2, 3 }).at("a") == 3);
    CHECK(index.match({ 1, 2 }).at("a") == 1);
    SECTION("a gap")
    {
        index.apply({ "a", 1, 9, false, { 7 }, {} });
        CHECK(index.match({ 1, 2, 3 }).empty());
        CHECK(index.match({ 7 }).at("a") == 1);
    }
    SECTION("stale events are ignored")
    {
        index.apply({ "a", 1, 0, false, { 50 }, {} });
        CHECK(index.match({ 50 }).empty());
    }
    SECTION("a new incarnation starts without entries")
    {
        index.apply({ "a", 2, 0, false, { 9 }, {} });
        CHECK(index.match({ 1 }).empty());
    }
}

TEST_CASE("The index stays within its size limit and keeps the most recent blocks", "[prefix]")
{
    prefix_index index(100);
    for (std::uint64_t block = 0; block < 10'000; ++block)
        index.add("a", { block });
    CHECK(index.size() <= 100);
    CHECK(index.match({ 9'999 }).at("a") == 1);
}

TEST_CASE("Chains of different customers or weight versions share no hash", "[prefix][isolation]")
{
    std::string prompt(4096, 'x');
    auto a = chainOf({ "espuma", "base", "", "v1" }, prompt);
    auto b = chainOf({ "samvinna", "base", "", "v1" }, prompt);
    auto c = chainOf({ "espuma", "base", "", "v2" }, prompt);
    REQUIRE(a.size() == 4);
    for (std::size_t index = 0; index < a.size(); ++index) {
        CHECK(a[index] != b[index]);
        CHECK(a[index] != c[index]);
    }
    auto longer = chainOf({ "espuma", "base", "", "v1" }, prompt + std::string(2000, 'y'));
    CHECK(std::equal(a.begin(), a.end(), longer.begin()));
}

TEST_CASE("Tokens from several attempts are delivered once and in order", "[stream]")
{
    stream_assembly stream;
    CHECK(stream.accept(0) == token_verdict::deliver);
    CHECK(stream.accept(1) == token_verdict::deliver);
    CHECK(stream.accept(0) == token_verdict::duplicate);
    CHECK(stream.accept(3) == token_verdict::gap);
    CHECK(stream.accept(2) == token_verdict::deliver);
    CHECK(stream.next() == 3);
}
