#include "plumfold/core/plumfold_report_relay.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

target_report report(std::uint64_t sequence, std::uint32_t running)
{
    target_report made;
    made.name = "t";
    made.incarnation = 1;
    made.sequence = sequence;
    made.running = running;
    return made;
}

} // namespace

TEST_CASE("Load changes are relayed at once within a failure domain and on refresh to others", "[relay]")
{
    bool sameDomain = GENERATE(true, false);
    report_relay relay(sameDomain, milliseconds(1000));
    instant now {};
    CHECK(relay.markSentIfDue(report(1, 0), now));
    now += milliseconds(200);
    CHECK(relay.markSentIfDue(report(2, 5), now) == sameDomain);
    now += milliseconds(200);
    CHECK_FALSE(relay.markSentIfDue(report(3, sameDomain ? 5 : 0), now));
    now += milliseconds(1000);
    CHECK(relay.markSentIfDue(report(4, 5), now));
    CHECK_FALSE(relay.markSentIfDue(report(4, 5), now));
}

TEST_CASE("Changes that decide whether a target may be used are relayed at once", "[relay][leaving]")
{
    report_relay relay(false, milliseconds(1000));
    instant now {};
    CHECK(relay.markSentIfDue(report(1, 0), now));
    auto next = report(2, 0);
    SECTION("the target is leaving")
    {
        next.leaving = true;
    }
    SECTION("the target has restarted")
    {
        next.incarnation = 2;
    }
    SECTION("the target has loaded another model version")
    {
        next.models = { { "base", "v2", {} } };
    }
    CHECK(relay.markSentIfDue(next, now));
}

TEST_CASE("Relays do not refresh a target that has stopped reporting", "[relay]")
{
    report_relay relay(true, milliseconds(1000));
    instant now {};
    CHECK(relay.markSentIfDue(report(1, 0), now));
    CHECK_FALSE(relay.markSentIfDue(report(1, 0), now + milliseconds(5000)));
    relay.reset();
    CHECK(relay.markSentIfDue(report(1, 0), now + milliseconds(5000)));
}
