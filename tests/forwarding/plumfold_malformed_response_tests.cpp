#include "support/plumfold_serving_system.hpp"

#include "fakes/plumfold_malformed_heads.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

class malformed_response_system : public serving_system {
public:
    malformed_response_system() { startAnnouncing(); }

    void respond(const std::string& bytes)
    {
        for (const char* name : { "t1", "t2" })
            target(name).setRawResponse(bytes, raw_ending::close);
    }

    /// Sends a request until a target has received it; targets whose answers break off are left alone for a
    /// while.
    raw_response requestOnceUsable(const std::string& path)
    {
        raw_response response;
        auto before = totalRequests();
        eventually([&] {
            response = request(1, path);
            return totalRequests() > before;
        });
        return response;
    }
};

const std::string signature = "Request-Id: {id}\r\nResponse-Signature: t1\r\n";

} // namespace

// Guards against a status or a head that no server may send and that the caller gets as the target's answer.
TEST_CASE_METHOD(malformed_response_system,
    "A caller never gets an answer whose head is none in the protocol", "[forwarding][malformed_response]")
{
    std::string path = GENERATE("/shop/raw", "/stock/raw");
    for (const auto& head : malformedHeads()) {
        CAPTURE(path, head.name);
        respond(head.statusLine + signature + head.fields + "\r\n" + bodyOf(head));
        auto response = requestOnceUsable(path);
        CHECK(response.status == 502);
        CHECK(response.body.empty());
        CHECK(response.headers.find("response-signature") == std::string::npos);
        CHECK(response.headers.find("\r\nbad") == std::string::npos);
    }
    respond("HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 5\r\n\r\nsound");
    CHECK(eventually([&] { return request(1, path).body == "sound"; }));
}
