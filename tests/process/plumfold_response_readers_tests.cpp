#include "plumfold/client/plumfold_http_caller.hpp"
#include "plumfold/entry/plumfold_http_target_adapter.hpp"

#include "fakes/plumfold_malformed_heads.hpp"
#include "fakes/plumfold_raw_server.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace plumfold;
using tests::raw_end;
using tests::raw_script;
using tests::raw_server;

namespace {

constexpr core::milliseconds timeLimit { 1'000 };

client::call_response callOnce(const raw_script& script)
{
    raw_server server({ script });
    client::call_request request;
    request.address = server.address();
    request.method = "GET";
    request.path = "/v1/models";
    request.timeout = timeLimit;
    return client::call(request);
}

class ignoring_sink final : public entry::token_sink {
public:
    bool onToken(std::uint32_t, const std::string&) override { return true; }
    bool onPause() override { return true; }
};

/// The health of a target, which the adapter reads before it sends a request on a new connection.
const std::string healthBody = "{\"incarnation\":7}";
const std::string health
    = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(healthBody.size()) + "\r\n\r\n" + healthBody;

entry::service_result callService(std::string response, raw_end end)
{
    raw_server server({ { { std::move(response) }, end, true, health } });
    entry::service_call call;
    call.service = "tools";
    call.method = "POST";
    call.path = "/run";
    call.timeout = timeLimit;
    call.maxResponseBytes = 1'000;
    entry::http_target_adapter adapter;
    return adapter.callService({ server.address(), 7 }, call);
}

entry::completion_result complete(std::string response, raw_end end)
{
    raw_server server({ { { std::move(response) }, end, true, health } });
    entry::completion_call call;
    call.firstTokenTimeout = call.tokenTimeout = timeLimit;
    entry::http_target_adapter adapter;
    ignoring_sink sink;
    return adapter.complete({ server.address(), 7 }, call, sink);
}

/// Events of a whole completion.
const std::string events = "data: {\"token_index\":0,\"choices\":[{\"text\":\"a\"}]}\n\n"
                           "data: {\"usage\":{\"prompt_tokens\":1,\"cached_tokens\":0,"
                           "\"completion_tokens\":1},\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n";

std::string chunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against heads that only some readers refuse.
TEST_CASE("No reader of the own interface takes a malformed response", "[process][malformed_response]")
{
    for (const auto& head : tests::malformedHeads()) {
        CAPTURE(head.name);
        auto bytes = head.statusLine + head.fields + "\r\n" + tests::bodyOf(head);
        auto called = callOnce({ { bytes } });
        CHECK(called.status == 0);
        CHECK_FALSE(called.done);
        CHECK(callService(bytes, raw_end::close).outcome == core::attempt_outcome::lost);
        CHECK(complete(bytes, raw_end::close).outcome == core::attempt_outcome::lost);
    }
}

// Guards against chunks without their end, which Poco's streams end like a whole body.
TEST_CASE("A body that breaks off is not complete for any reader of the own interface",
    "[process][malformed_response]")
{
    auto end = GENERATE(raw_end::close, raw_end::reset);
    CAPTURE(static_cast<int>(end));
    CHECK_FALSE(callOnce({ { chunkedHead + chunk("{\"a\":1}") }, end }).done);
    CHECK_FALSE(callOnce({ { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}" }, end }).done);
    CHECK(callService(chunkedHead + chunk("part"), end).outcome == core::attempt_outcome::lost);
    CHECK(complete(chunkedHead + chunk(events.substr(0, 60)), end).outcome == core::attempt_outcome::lost);
}

TEST_CASE("Sound responses are read by all readers of the own interface", "[process][malformed_response]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    auto called = callOnce({ { interim + chunkedHead + chunk("{\"a\":1}") + "0\r\n\r\n" }, raw_end::keep });
    CHECK(called.status == 200);
    CHECK(called.done);
    CHECK(called.body == "{\"a\":1}");
    auto served
        = callService(interim + "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone", raw_end::keep);
    CHECK(served.outcome == core::attempt_outcome::succeeded);
    CHECK(served.status == 201);
    CHECK(served.body == "done");
    auto completed = complete(interim + chunkedHead + chunk(events) + "0\r\n\r\n", raw_end::keep);
    CHECK(completed.outcome == core::attempt_outcome::succeeded);
    CHECK(completed.outputTokens == 1);
}

// Guards against a line without end that an entry keeps until its memory is used up.
TEST_CASE("An event of any length ends a completion as lost", "[process][malformed_response]")
{
    std::string endless = "data: " + std::string(2 << 20, 'x');
    CHECK(complete(chunkedHead + chunk(endless), raw_end::keep).outcome == core::attempt_outcome::lost);
}
