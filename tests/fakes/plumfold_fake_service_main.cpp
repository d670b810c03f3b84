// Runs a fake service for plain requests as a process. Counts the executions of each idempotency key.

#include "plumfold_announcer.hpp"
#include "plumfold_fake_http.hpp"

#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/runtime/plumfold_stop_signal.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace plumfold;
using json = nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxBodyBytes = 1 << 20;

/// State of the service and the faults that tests inject with POST /fault.
struct fake_service {
    explicit fake_service(fakes::fake_options given)
        : options(std::move(given))
        , incarnation(runtime::randomNumber() >> 1 | 1)
    {
        if (!options.logFile.empty())
            log.open(options.logFile, std::ios::app);
    }

    fakes::fake_options options;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::map<std::string, int> executions; // by idempotency key
    std::ofstream log; // one idempotency key per execution; survives a crash, unlike the map
    std::atomic<int> running { 0 };
    std::atomic<int> delayMs { 0 };
    std::atomic<bool> dropResponse { false }; // disconnects after execution
    std::string cutResponse; // how a response is broken off: "chunked" or "reset"; empty: not at all
    std::atomic<bool> rejectRequests { false };
    std::atomic<bool> crashAfterRun { false };
    std::atomic<bool> leaving { false };
};

class service_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit service_handler(fake_service& service)
        : m_service(service)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        auto body = runtime::readBody(request.stream(), maxBodyBytes);
        const std::string& uri = request.getURI();
        if (uri.starts_with("/v1/services/"))
            execute(request, *body, response);
        else if (uri == "/healthz")
            fakes::sendJsonResponse(response, json { { "incarnation", m_service.incarnation } });
        else if (uri == "/executions")
            fakes::sendJsonResponse(response, executions());
        else if (uri == "/fault")
            setFaults(json::parse(*body), response);
        else
            fakes::sendJsonResponse(response, json::object(), HTTPResponse::HTTP_NOT_FOUND);
    }

private:
    json executions()
    {
        std::lock_guard lock(m_service.mutex);
        return json(m_service.executions);
    }

    void setFaults(const json& in, Poco::Net::HTTPServerResponse& response)
    {
        m_service.delayMs = in.value("delay_ms", 0);
        m_service.dropResponse = in.value("drop_answer", false);
        {
            std::lock_guard lock(m_service.mutex);
            m_service.cutResponse = in.value("cut_answer", "");
        }
        m_service.rejectRequests = in.value("refuse", false);
        m_service.crashAfterRun = in.value("die_after_run", false);
        m_service.leaving = in.value("leaving", false);
        fakes::sendJsonResponse(response, json::object());
    }

    void execute(Poco::Net::HTTPServerRequest& request, const std::string& body,
        Poco::Net::HTTPServerResponse& response)
    {
        if (m_service.rejectRequests) {
            response.set("X-Ran", "false");
            fakes::sendJsonResponse(response, json::object(), HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            return;
        }
        ++m_service.running;
        std::this_thread::sleep_for(std::chrono::milliseconds(m_service.delayMs.load()));
        std::string key = request.get("Idempotency-Key", "");
        int count = 0;
        std::string cutResponse;
        {
            std::lock_guard lock(m_service.mutex);
            cutResponse = m_service.cutResponse;
            count = ++m_service.executions[key];
            if (m_service.log.is_open())
                m_service.log << key << std::endl;
        }
        if (m_service.crashAfterRun)
            std::_Exit(9);
        --m_service.running;
        if (m_service.dropResponse) {
            static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
            return;
        }
        if (!cutResponse.empty()) {
            sendCutResponse(static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket(), cutResponse);
            return;
        }
        fakes::sendJsonResponse(
            response, json { { "done", key }, { "execution", count }, { "bytes", body.size() } });
    }

    static void sendCutResponse(Poco::Net::StreamSocket& socket, const std::string& how)
    {
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        bytes += how == "chunked" ? "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"done\"\r\n" : "\r\n{\"done\"";
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // a reset discards what was not yet read
        if (how == "reset")
            socket.setLinger(true, 0);
        socket.close();
    }

    fake_service& m_service;
};

} // namespace

int main(int argc, char** argv)
{
    runtime::blockStopSignals();
    fake_service service(fakes::parseFakeOptions(argc, argv));
    runtime::http_limits limits;
    limits.maxConnections = 256;
    runtime::http_listener http(
        service.options.address, new fakes::handler_factory<service_handler, fake_service>(service), limits);
    fakes::announcer announcer(service.options, [&] {
        return json {
            { "name", service.options.name },
            { "incarnation", service.incarnation },
            { "address", service.options.address },
            { "failure_domain", service.options.failureDomain },
            { "kind", "service" },
            { "services", json::array({ service.options.service }) },
            { "max_batch", service.options.maxBatch },
            { "running", service.running.load() },
            { "queued", 0 },
            { "leaving", service.leaving.load() },
        };
    });
    runtime::waitForSignal();
    return 0;
}
