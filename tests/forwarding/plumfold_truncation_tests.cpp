#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

const std::string twoEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
const std::string allEvents
    = twoEvents + "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

class truncating_system : public serving_system {
public:
    truncating_system() { startAnnouncing(); }

    raw_response requestAfterBackoff(const std::string& path)
    {
        std::this_thread::sleep_for(900ms);
        return request(1, path);
    }
};

} // namespace

TEST_CASE_METHOD(truncating_system,
    "A stream that ends inside an event is never delivered as complete, however it is framed",
    "[forwarding][truncation]")
{
    for (const char* behaviour :
        { "events-unframed-cut", "events-chunked-cut", "events-sized-cut", "events-cut" }) {
        INFO(behaviour);
        auto response = requestAfterBackoff(std::string("/notes/") + behaviour);
        CHECK(response.status == 200);
        CHECK(response.body.starts_with(twoEvents));
        CHECK_FALSE(response.isComplete);
    }
}

TEST_CASE_METHOD(truncating_system,
    "A resumable stream that ends inside an event goes on at another target, however it is framed",
    "[forwarding][truncation]")
{
    for (const char* behaviour : { "events-unframed-cut", "events-chunked-cut", "events-sized-cut" }) {
        INFO(behaviour);
        auto response = requestAfterBackoff(std::string("/words/") + behaviour);
        CHECK(response.body == allEvents);
        CHECK(response.isComplete);
    }
}

TEST_CASE_METHOD(truncating_system,
    "A stream that ends with its connection before its first event is not delivered as complete",
    "[forwarding][truncation]")
{
    for (const char* path : { "/notes/events-unframed-none", "/words/events-unframed-none" }) {
        INFO(path);
        auto response = requestAfterBackoff(path);
        CHECK_FALSE((response.status == 200 && response.isComplete));
    }
}

TEST_CASE_METHOD(truncating_system, "Answers that end with their connection are whole unless it is reset",
    "[forwarding][truncation]")
{
    for (const char* path : { "/notes/events-unframed", "/words/events-unframed" }) {
        INFO(path);
        auto response = requestAfterBackoff(path);
        CHECK(response.body == allEvents);
        CHECK(response.isComplete);
    }
    CHECK(requestAfterBackoff("/shop/unframed-reset").status == 502);
    CHECK_FALSE(requestAfterBackoff("/notes/events-unframed-reset").isComplete);
    auto continued = requestAfterBackoff("/words/events-unframed-reset");
    CHECK(continued.body == allEvents);
    CHECK(continued.isComplete);
}
