#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_response_reader.hpp"

#include "fakes/plumfold_malformed_heads.hpp"
#include "fakes/plumfold_raw_server.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace plumfold;
using tests::raw_end;

namespace {

using namespace std::chrono_literals;

constexpr auto timeLimit = 2'000ms;
constexpr std::size_t maxBodyBytes = 1'000;
const std::string body = "the whole body";

/// Sound responses with the same body, each framed in another way.
struct framed_response {
    const char* name;
    std::string bytes;
    bool endsWithConnection = false;
    std::size_t headBytes = 0; ///< Up to the blank line of the final response.
};

framed_response framed(const char* name, std::string head, const std::string& rest, bool endsWithConnection)
{
    auto headBytes = head.size();
    return { name, std::move(head) + rest, endsWithConnection, headBytes };
}

std::vector<framed_response> framedResponses()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: t1\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return {
        framed("length", ok + length, body, false),
        framed("chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
            "4;extension=1\r\nthe \r\nA\r\nwhole body\r\n0\r\nTrailer: x\r\n\r\n", false),
        framed("connection", ok + "\r\n", body, true),
        framed("interim",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + length, body,
            false),
    };
}

absl::StatusOr<runtime::received_response> read(
    const tests::raw_script& script, runtime::response_limits limits = { maxBodyBytes })
{
    auto scripted = script;
    scripted.readsRequest = false;
    tests::raw_server server({ scripted });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(server.address()));
    try {
        return runtime::readResponse(socket, limits, timeLimit, runtime::now() + timeLimit);
    } catch (const Poco::Exception& error) {
        return absl::UnavailableError(error.displayText());
    }
}

bool isWhole(const absl::StatusOr<runtime::received_response>& response)
{
    return response.ok() && response->message.result_int() == 200 && response->message.body() == body
        && response->message["Response-Signature"] == "t1";
}

} // namespace

// Guards against a head that no server may send and that a reader takes for a response.
TEST_CASE("A response whose head is none in the protocol is not read", "[runtime][malformed_response]")
{
    for (const auto& head : tests::malformedHeads()) {
        CAPTURE(head.name);
        CHECK_FALSE(read({ { head.statusLine + head.fields + "\r\n" + tests::bodyOf(head) } }).ok());
    }
}

TEST_CASE("A response is read as a whole wherever it is split", "[runtime][malformed_response]")
{
    for (const auto& each : framedResponses()) {
        for (std::size_t at = 0; at <= each.bytes.size(); ++at) {
            CAPTURE(each.name, at);
            auto end = each.endsWithConnection ? raw_end::close : raw_end::keep;
            CHECK(isWhole(read({ { each.bytes.substr(0, at), each.bytes.substr(at) }, end })));
        }
    }
}

// Guards against a part of a body that is taken for the whole one.
TEST_CASE("A response that is cut anywhere is not read", "[runtime][malformed_response]")
{
    auto end = GENERATE(raw_end::close, raw_end::reset);
    for (const auto& each : framedResponses()) {
        for (std::size_t at = 0; at < each.bytes.size(); ++at) {
            // The end of the connection is the end of such a body.
            if (each.endsWithConnection && end == raw_end::close && at >= each.headBytes)
                continue;
            CAPTURE(each.name, at, static_cast<int>(end));
            CHECK_FALSE(read({ { each.bytes.substr(0, at) }, end }).ok());
        }
    }
}

// Guards against a body that a reset ended while the request was still being written.
TEST_CASE(
    "The end of a connection that broke the request off does not end a body", "[runtime][malformed_response]")
{
    for (const auto& each : framedResponses()) {
        CAPTURE(each.name);
        runtime::response_limits limits { maxBodyBytes, true, false };
        auto response = read({ { each.bytes } }, limits);
        CHECK(isWhole(response) != each.endsWithConnection);
        CHECK_FALSE((response.ok() && response->isReusable));
    }
}

TEST_CASE("A connection is reused only behind a complete response", "[runtime][malformed_response]")
{
    auto sound = framedResponses().front().bytes;
    CHECK(read({ { sound }, raw_end::keep })->isReusable);
    CHECK_FALSE(read({ { sound + "x" }, raw_end::keep })->isReusable);
    CHECK_FALSE(
        read({ { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" } })->isReusable);
    CHECK_FALSE(read({ { "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n" }, raw_end::keep })->isReusable);
    CHECK_FALSE(read({ { "HTTP/1.1 200 OK\r\n\r\n" } })->isReusable);
}

TEST_CASE("A response to HEAD has no body", "[runtime][malformed_response]")
{
    auto response = read(
        { { "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" }, raw_end::keep }, { maxBodyBytes, false });
    REQUIRE(response.ok());
    CHECK(response->message.body().empty());
    CHECK(response->isReusable);
}

TEST_CASE("Interim responses and bodies without end are not read for ever", "[runtime][malformed_response]")
{
    std::string interim;
    for (int count = 0; count < 100; ++count)
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    CHECK_FALSE(read({ { interim }, raw_end::keep }).ok());
    std::string large(2 * maxBodyBytes, 'x');
    CHECK_FALSE(read({ { "HTTP/1.1 200 OK\r\n\r\n" + large } }).ok());
    CHECK_FALSE(read({ { "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + large } }).ok());
}

// Guards against heads that nobody has thought of.
TEST_CASE("A response with a changed byte is whole, or a valid one, or none", "[runtime][malformed_response]")
{
    rc::prop("one byte changed, then split somewhere", [] {
        auto all = framedResponses();
        auto each = *rc::gen::elementOf(all);
        auto bytes = each.bytes;
        auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        auto byte
            = *rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('\r', '\n', '\0', ' ', ':', '0'));
        bytes[at] = byte;
        auto split = *rc::gen::inRange<std::size_t>(0, bytes.size());
        auto response = read({ { bytes.substr(0, split), bytes.substr(split) } });
        if (!response.ok())
            return;
        auto status = response->message.result_int();
        RC_ASSERT(status >= 200u);
        RC_ASSERT(status <= 599u);
        for (const auto& field : response->message) {
            RC_ASSERT(!field.name_string().empty());
            for (unsigned char each : field.name_string())
                RC_ASSERT(each > 0x20 && each < 0x7f && each != ':');
            for (unsigned char each : field.value())
                RC_ASSERT(each == '\t' || (each >= 0x20 && each != 0x7f));
        }
        // Nothing but the changed byte differs from the body that was sent, whatever frames it.
        const auto& received = response->message.body();
        RC_ASSERT(received.size() <= bytes.size());
        if (at < each.headBytes)
            RC_ASSERT(bytes.find(received.substr(0, 4)) != std::string::npos);
    });
}
