#include "plumfold/core/plumfold_relay_helpers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

std::vector<entry_address> entries(int count)
{
    std::vector<entry_address> all;
    for (int number = 0; number < count; ++number) {
        auto name = "n" + std::to_string(number);
        all.push_back({ name, name + ":1", number % 3 == 0 ? "east" : "west" });
    }
    return all;
}

} // namespace

TEST_CASE("An entry gets a bounded number of helpers, some of its own failure domain", "[relay]")
{
    auto helpers = selectHelpers("n0", "east", entries(60));
    CHECK(helpers.size() == 8);
    CHECK(std::count_if(helpers.begin(), helpers.end(), [](const auto& each) {
        return each.failureDomain == "east";
    }) == 3);
    CHECK(std::none_of(helpers.begin(), helpers.end(), [](const auto& each) { return each.name == "n0"; }));
    auto reversed = entries(60);
    std::reverse(reversed.begin(), reversed.end());
    CHECK(selectHelpers("n0", "east", reversed) == helpers);
    CHECK(digestOf(selectHelpers("n3", "east", entries(60))) != digestOf(helpers));
}

TEST_CASE("Entries without a relay address are no helpers", "[relay]")
{
    CHECK(selectHelpers("a", "east", { { "b", "", "east" } }).empty());
    CHECK(digestOf({}) == 0);
}

TEST_CASE("Requests go to the helper with the fewest own ones, in the own failure domain first", "[relay]")
{
    relay_helpers helpers("east");
    helpers.setHelpers({ { "a", "a:1", "west" }, { "b", "b:1", "east" }, { "c", "c:1", "east" } });
    std::map<std::string, int> chosen;
    for (int count = 0; count < 8; ++count)
        ++chosen[helpers.choose({}, start)->name];
    CHECK(chosen["b"] == 4);
    CHECK(chosen["c"] == 4);
    CHECK(helpers.choose({}, start)->name == "a");
    CHECK(helpers.choose({ "a", "b" }, start)->name == "c");
}

TEST_CASE("An unavailable helper gets no requests for a time", "[relay]")
{
    relay_helpers helpers("east");
    helpers.setHelpers({ { "a", "a:1", "east" } });
    REQUIRE(helpers.choose({}, start));
    helpers.onEnded("a", true, start);
    CHECK_FALSE(helpers.choose({}, start + milliseconds(999)));
    CHECK(helpers.choose({}, start + milliseconds(1'000)));
}

TEST_CASE("The own requests in flight at a helper are bounded", "[relay]")
{
    relay_helpers helpers("east");
    helpers.setHelpers({ { "a", "a:1", "east" } });
    int taken = 0;
    while (helpers.choose({}, start))
        ++taken;
    CHECK(taken == 64);
    helpers.onEnded("a", false, start);
    CHECK(helpers.choose({}, start));
    helpers.setHelpers({});
    CHECK_FALSE(helpers.choose({}, start));
}
