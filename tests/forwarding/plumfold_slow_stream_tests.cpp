#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds allowedPause { 800 };
constexpr std::chrono::milliseconds timeout { 40'000 };
constexpr int callers = 6;

/// Lets streams last as long as slow targets need.
class slow_stream_system : public serving_system {
public:
    slow_stream_system()
    {
        auto body = deployment(4);
        for (auto& route : body["routes"])
            route["timeout-ms"] = timeout.count();
        putDeployment(1, body);
        startAnnouncing();
        std::this_thread::sleep_for(2s); // until it is in force
    }

    std::vector<raw_response> streams(const std::string& path, std::chrono::milliseconds deadline)
    {
        std::vector<std::future<raw_response>> running;
        for (int number = 0; number < callers; ++number)
            running.push_back(std::async(std::launch::async, [this, path, deadline] {
                raw_caller caller(callerAddress(1));
                caller.setReceiveTimeout(timeout);
                caller.send(requestBytes(
                    path, nextId(), "order", { { "Request-Deadline", std::to_string(deadline.count()) } }));
                return caller.receive();
            }));
        std::vector<raw_response> responses;
        for (auto& each : running)
            responses.push_back(each.get());
        return responses;
    }
};

} // namespace

TEST_CASE_METHOD(slow_stream_system, "Streams with an event each 0.9 of the allowed pause are not cut",
    "[forwarding][slow_streams]")
{
    for (const auto* name : { "t1", "t2" })
        target(name).setPace(allowedPause * 9 / 10);
    std::string all;
    for (int id = 1; id <= scripted_target::pacedEventCount; ++id)
        all += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    auto before = totalRequests();
    auto path = GENERATE("/words/events-paced", "/notes/events-paced");
    for (const auto& response : streams(path, timeout)) {
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        CHECK(response.body == all);
    }
    CHECK(totalRequests() - before == callers);
}

TEST_CASE_METHOD(slow_stream_system, "Streams that send comments without an event end at their deadline",
    "[forwarding][slow_streams]")
{
    constexpr std::chrono::milliseconds deadline { 2'500 };
    auto begin = std::chrono::steady_clock::now();
    auto path = GENERATE("/words/comments-only", "/notes/comments-only");
    for (const auto& response : streams(path, deadline))
        CHECK_FALSE((response.status == 200 && response.isComplete));
    CHECK(std::chrono::steady_clock::now() - begin <= deadline + 500ms);
}
