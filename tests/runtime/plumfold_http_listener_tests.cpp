#include "plumfold/runtime/plumfold_http.hpp"

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <chrono>
#include <latch>
#include <memory>
#include <thread>
#include <vector>

using namespace plumfold;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr auto address = "127.53.200.1:8090";

/// Holds back its responses until they are released.
class held_response_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit held_response_handler(std::latch& released)
        : m_released(released)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response) override
    {
        m_released.wait();
        response.setKeepAlive(false);
        response.setContentLength64(0);
        response.send();
    }

private:
    std::latch& m_released;
};

class held_response_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit held_response_factory(std::latch& released)
        : m_released(released)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new held_response_handler(m_released);
    }

private:
    std::latch& m_released;
};

/// Sends one request on a connection of its own.
void call()
{
    Poco::Net::HTTPClientSession session(runtime::socketAddress(address));
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/", Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
}

/// Opens connections while as many others end, so that the listener starts threads that then have nothing to
/// do, because threads that have become free are faster.
void exchangeConnections(const runtime::http_listener& listener, std::latch& released)
{
    constexpr int connections = 32;
    std::vector<std::jthread> callers;
    callers.reserve(2 * connections);
    for (int index = 0; index < connections; ++index)
        callers.emplace_back(call);
    while (listener.connections() < connections)
        std::this_thread::sleep_for(1ms);
    for (int index = 0; index < connections; ++index) {
        callers.emplace_back([&released] {
            released.wait();
            call();
        });
    }
    released.count_down();
}

} // namespace

// Guards against a process that exceeds its grace period because idle threads of a listener sleep on.
TEST_CASE("A listener with several idle threads stops at once", "[http]")
{
    constexpr auto stopLimit = 600ms;
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        std::latch released(1);
        auto listener = std::make_unique<runtime::http_listener>(
            address, new held_response_factory(released), runtime::http_limits {});
        exchangeConnections(*listener, released);
        auto stopAt = clock_type::now();
        listener.reset();
        CHECK(clock_type::now() - stopAt <= stopLimit);
    }
}
