#include "plumfold/core/plumfold_message_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace plumfold::core;

namespace {

using ids = std::vector<std::uint64_t>;

message_budget_options smallOptions()
{
    message_budget_options options;
    options.maxMessageBytes = 60;
    options.allMessagesBytes = 100;
    options.smallMessageBytes = 5;
    return options;
}

instant at(int ms)
{
    return instant(milliseconds(ms));
}

} // namespace

// Guards against a size limit that lets a single message take the memory of the process.
TEST_CASE("A message beyond the largest sound size is not allowed", "[message_budget]")
{
    message_budget budget(smallOptions());
    CHECK(budget.isAllowed(60));
    CHECK_FALSE(budget.isAllowed(61));
}

// Guards against heartbeats and polls that wait behind the large messages of other senders.
TEST_CASE("Small messages are admitted while the budget is used up", "[message_budget]")
{
    message_budget budget(smallOptions());
    budget.announce(60, at(0));
    budget.announce(40, at(0));
    CHECK(budget.decide(at(0)).admitted == ids { 2, 1 });
    auto large = budget.announce(6, at(1));
    auto small = budget.announce(5, at(1));
    CHECK(budget.decide(at(1)).admitted == ids { small });
    CHECK(budget.hasWaiting());
    budget.release(2);
    CHECK(budget.decide(at(2)).admitted == ids { large });
    CHECK(budget.usedBytes() == 66);
}

// Guards against a message that is handled and counts no longer, and against one that is refused then.
TEST_CASE("A message counts until it is released and is not refused once it is complete", "[message_budget]")
{
    message_budget budget(smallOptions());
    auto first = budget.announce(60, at(0));
    budget.decide(at(0));
    budget.complete(first);
    auto second = budget.announce(60, at(10));
    for (int ms = 10; ms < 4'900; ms += 100)
        CHECK(budget.decide(at(ms)) == message_decisions {});
    budget.release(first);
    CHECK(budget.decide(at(4'900)).admitted == ids { second });
    CHECK(budget.usedBytes() == 60);
    budget.release(second);
    CHECK(budget.usedBytes() == 0);
}

// Guards against senders that announce large messages, send nothing more and keep sound ones waiting.
TEST_CASE("A silent message gives way to one that waits", "[message_budget]")
{
    message_budget budget(smallOptions());
    auto silent = budget.announce(60, at(0));
    budget.decide(at(0));
    // Nobody waits, so it may stay silent.
    CHECK(budget.decide(at(60'000)) == message_decisions {});
    auto waiting = budget.announce(50, at(60'000));
    message_decisions decisions;
    int ms = 60'000;
    for (; decisions == message_decisions {}; ms += 100)
        decisions = budget.decide(at(ms));
    CHECK(decisions == message_decisions { { waiting }, { silent } });
    CHECK(ms <= 62'200);
}

// Guards against refusals of sound messages because this process stood still and has not read them.
TEST_CASE("A pause of the process does not count as silence of its senders", "[message_budget]")
{
    message_budget budget(smallOptions());
    auto receiving = budget.announce(60, at(0));
    budget.decide(at(0));
    budget.announce(50, at(0));
    CHECK(budget.decide(at(0)) == message_decisions {});
    CHECK(budget.decide(at(4'000)) == message_decisions {});
    budget.receive(receiving, at(4'100));
    CHECK(budget.decide(at(4'900)) == message_decisions {});
}

// Guards against senders that keep the budget by sending a byte from time to time.
TEST_CASE("A message that is received too slowly gives way to one that waits", "[message_budget]")
{
    message_budget budget(smallOptions());
    auto slow = budget.announce(60, at(0));
    budget.decide(at(0));
    std::set<std::uint64_t> refused;
    int ms = 0;
    for (; !refused.contains(slow) && ms < 60'000; ms += 500) {
        budget.receive(slow, at(ms));
        if (!budget.hasWaiting())
            budget.announce(60, at(ms));
        auto decisions = budget.decide(at(ms));
        refused.insert(decisions.refused.begin(), decisions.refused.end());
    }
    CHECK(refused.contains(slow));
    CHECK(ms <= 31'000);
}

// Guards against a sum that goes wrong in some order of calls, and against messages that wait for ever.
TEST_CASE("The budget is kept in any order of calls and each message is decided", "[message_budget]")
{
    rc::prop("bytes of admitted messages stay within the limit", [](const std::vector<unsigned>& steps) {
        message_budget budget(smallOptions());
        std::map<std::uint64_t, std::size_t> waiting;
        std::map<std::uint64_t, std::size_t> admitted;
        int ms = 0;
        auto apply = [&](const message_decisions& decisions) {
            for (auto number : decisions.refused) {
                waiting.erase(number);
                admitted.erase(number);
            }
            for (auto number : decisions.admitted) {
                admitted[number] = waiting.at(number);
                waiting.erase(number);
            }
        };
        for (auto step : steps) {
            ms += static_cast<int>(step % 300);
            std::size_t bytes = step % 61;
            if (step % 3 == 0 && !admitted.empty()) {
                budget.release(admitted.begin()->first);
                admitted.erase(admitted.begin());
            } else if (step % 3 == 1 && !admitted.empty()) {
                budget.receive(admitted.rbegin()->first, at(ms));
            } else {
                waiting[budget.announce(bytes, at(ms))] = bytes;
            }
            apply(budget.decide(at(ms)));
            std::size_t sum = 0;
            for (const auto& [number, size] : admitted)
                sum += size > 5 ? size : 0;
            RC_ASSERT(sum == budget.usedBytes());
            RC_ASSERT(sum <= 100U);
            RC_ASSERT(waiting.empty() == !budget.hasWaiting());
        }
        for (int more = 0; more < 60; ++more)
            apply(budget.decide(at(ms += 100)));
        RC_ASSERT(waiting.empty());
    });
}
