#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

/// Where a target stops in the head of its response: after a text that the head contains.
constexpr const char* places[] = { "H", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n",
    "Request-", "Request-Id: ", "\r\nResponse-Signature: t", "\r\nResponse-Signature: t1\r\n" };

/// @return the number of bytes of the head up to and with a place; a head that lacks it ends without its last
/// line break.
std::size_t bytesUpTo(const std::string& place, const std::string& name)
{
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + forwarding_system::nextId()
        + "\r\nResponse-Signature: " + name + "\r\n";
    auto found = head.find(place);
    return found == std::string::npos ? head.size() : found + place.size();
}

} // namespace

TEST_CASE_METHOD(serving_system, "A target that stops in the head of its response never leads to a 200",
    "[forwarding][stopped_head]")
{
    startAnnouncing();
    auto path = GENERATE("/shop/head-stops", "/stock/head-stops", "/words/head-stops", "/notes/head-stops");
    auto reset = GENERATE(false, true);
    for (const char* place : places) {
        CAPTURE(path, reset, place);
        for (const auto* name : { "t1", "t2" })
            target(name).stopInHead(bytesUpTo(place, name), reset);
        // A complete response ends the back-off that follows failures.
        REQUIRE(eventually([&] { return request(1, "/shop/whole").status == 200; }));
        auto before = totalRequests();
        auto response = request(1, path);
        CHECK(response.status == 502);
        // Idempotent, or a stream that may be resumed.
        bool mayRunTwice
            = path == std::string("/stock/head-stops") || path == std::string("/words/head-stops");
        CHECK(totalRequests() - before <= (mayRunTwice ? 2 : 1));
    }
}
