#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

constexpr std::size_t uploadBytes = 6 << 20; // more than sockets take in advance

/// Targets that respond to long uploads before they have read them.
class early_response_system : public serving_system {
public:
    early_response_system()
    {
        auto body = deployment(4);
        body["limits"]["max-body-bytes"] = 2 * uploadBytes;
        putDeployment(1, body);
        startAnnouncing();
        eventually([&] { return upload("/stock/whole").status == 200; });
    }

    raw_response upload(const std::string& path) { return request(1, path, m_upload); }

    /// Uploads until a target has received the request; targets whose answers break off are left alone for a
    /// while.
    raw_response uploadOnceUsable(const std::string& path)
    {
        raw_response response;
        auto before = totalRequests();
        eventually([&] {
            response = upload(path);
            return totalRequests() > before;
        });
        return response;
    }

    void respond(const std::string& bytes, raw_ending ending)
    {
        for (const char* name : { "t1", "t2" })
            target(name).setRawResponse(bytes, ending);
    }

private:
    const std::string m_upload = std::string(uploadBytes, 'u');
};

struct early_response {
    const char* name;
    std::string bytes;
};

const std::string success = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: t1\r\n";

} // namespace

// Guards against a part of a body that a reset ends and that the caller gets as the whole one.
TEST_CASE_METHOD(early_response_system,
    "A caller never gets a part of an answer that was reset while the request was written",
    "[forwarding][early_response]")
{
    const early_response responses[] = {
        { "without a length", success + "\r\npart" },
        { "with a length", success + "Content-Length: 8\r\n\r\npart" },
        { "in chunks", success + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" },
        { "in chunks, without the last line",
            success + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n" },
        { "a head alone", success + "Content-Length: 8\r\n\r\n" },
        { "a part of a head", success },
    };
    auto ending = GENERATE(raw_ending::reset, raw_ending::close);
    std::string path = GENERATE("/shop/raw-early", "/stock/raw-early");
    for (const auto& each : responses) {
        CAPTURE(each.name, path, static_cast<int>(ending));
        respond(each.bytes, ending);
        auto response = uploadOnceUsable(path);
        CHECK(response.status == 502);
        CHECK(response.body.empty());
    }
}

TEST_CASE_METHOD(early_response_system,
    "A stream that was reset while the request was written does not end as complete",
    "[forwarding][early_response]")
{
    auto ending = GENERATE(raw_ending::reset, raw_ending::close);
    CAPTURE(static_cast<int>(ending));
    respond(success + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n", ending);
    auto response = uploadOnceUsable("/notes/raw-early");
    bool looksComplete = response.status == 200 && response.isComplete;
    CHECK_FALSE(looksComplete);
}

// Guards against a whole answer that is lost because the rest of the request could not be written.
TEST_CASE_METHOD(early_response_system,
    "A caller gets a whole answer that came before the request was written", "[forwarding][early_response]")
{
    auto ending = GENERATE(raw_ending::reset, raw_ending::close);
    CAPTURE(static_cast<int>(ending));
    respond(success + "Content-Length: 5\r\n\r\nwhole", ending);
    CHECK(uploadOnceUsable("/shop/raw-early").body == "whole");
    respond(success + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", ending);
    CHECK(uploadOnceUsable("/shop/raw-early").body == "whole");
    respond("HTTP/1.1 413 Payload Too Large\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n", ending);
    CHECK(uploadOnceUsable("/shop/raw-early").status == 413);
}

TEST_CASE_METHOD(early_response_system,
    "A caller gets an answer whose end closes one direction while the target reads on",
    "[forwarding][early_response]")
{
    respond(success + "\r\nwhole", raw_ending::close_and_read);
    auto response = uploadOnceUsable("/shop/raw-early");
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
}

// Guards against a refusal that is lost, so that the caller is told that the request may have run.
TEST_CASE_METHOD(early_response_system,
    "A refusal that came before the request was written is the truth, and another target is tried",
    "[forwarding][early_response]")
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: "
                                "1\r\nContent-Length: 0\r\n\r\n";
    auto ending = GENERATE(raw_ending::reset, raw_ending::close);
    CAPTURE(static_cast<int>(ending));
    respond(refusal, ending);
    auto response = uploadOnceUsable("/shop/raw-early");
    CHECK(response.status == 503);
    target("t2").setRawResponse(success + "Content-Length: 5\r\n\r\nwhole", raw_ending::close);
    for (int count = 0; count < 4; ++count)
        CHECK(eventually([&] { return upload("/shop/raw-early").body == "whole"; }, 5));
}
