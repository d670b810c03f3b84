#include "support/plumfold_partitioned_system.hpp"
#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

constexpr const char* variants[] = { "400", "404", "500", "500-close", "500-events", "503", "503-not-run",
    "302", "200-text", "200-unsigned" };
const std::string firstEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

/// @param response of a stream that broke off after two events, and that no target continues.
void checkNothingForeign(const raw_response& response)
{
    CHECK(response.body.find("foreign") == std::string::npos);
    CHECK(response.headers.find("foreign") == std::string::npos);
    CHECK(response.body.find("HTTP/") == std::string::npos);
    if (response.status != 200)
        return;
    CHECK(firstEvents.starts_with(response.body));
    CHECK_FALSE(response.isComplete);
}

/// Sends a stream of each variant to an entry.
void checkAllVariants(forwarding_system& system)
{
    int begun = 0;
    for (const char* variant : variants) {
        CAPTURE(variant);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200)); // the targets' back-off
        auto response = system.request(1, std::string("/words/events-then-") + variant);
        checkNothingForeign(response);
        begun += response.status == 200;
    }
    CHECK(begun >= 8);
}

} // namespace

TEST_CASE("A stream that broke off gets nothing of a later response that does not continue it",
    "[forwarding][failed_take_up]")
{
    serving_system system;
    system.startAnnouncing();
    checkAllVariants(system);
}

TEST_CASE("A relayed stream that broke off gets nothing of a later response that does not continue it",
    "[forwarding][failed_take_up]")
{
    partitioned_system system;
    system.setLink(1, link_state::resetting);
    system.startCallers();
    system.sleepFor(partitioned_system::contactWindow);
    checkAllVariants(system);
    system.stopCallers();
    auto helpers = system.logOf("n2") + system.logOf("n3");
    CHECK(helpers.find("relayed=true") != std::string::npos);
}
