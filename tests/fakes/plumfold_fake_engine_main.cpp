// Runs a fake LLM engine as a process.

#include "plumfold_announcer.hpp"
#include "plumfold_fake_completion.hpp"
#include "plumfold_fake_engine.hpp"
#include "plumfold_fake_http.hpp"

#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_stop_signal.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <thread>

namespace {

using namespace plumfold;
using json = nlohmann::json;
using fakes::fake_engine;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxBodyBytes = 64 << 20;

class engine_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit engine_handler(fake_engine& engine)
        : m_engine(engine)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        auto body = runtime::readBody(request.stream(), maxBodyBytes);
        json in = body ? json::parse(*body, nullptr, false) : json();
        const std::string& uri = request.getURI();
        if (uri == "/v1/completions") {
            complete(in, response);
        } else if (uri == "/v1/cancel") {
            m_engine.cancel(in.at("request_id"));
            fakes::sendJsonResponse(response, json::object());
        } else if (uri == "/v1/kv/export") {
            fakes::sendJsonResponse(response, json::object());
            m_engine.exportBlocks(in);
        } else if (uri == "/v1/orders") {
            bool taken = m_engine.acceptOrder(in);
            fakes::sendJsonResponse(
                response, json::object(), taken ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_CONFLICT);
            if (taken)
                m_engine.loadVersion(in);
        } else if (uri == "/healthz") {
            fakes::sendJsonResponse(response, json { { "incarnation", m_engine.incarnation() } });
        } else if (uri == "/fault") {
            m_engine.setFaults(in);
            fakes::sendJsonResponse(response, json::object());
        } else if (uri == "/counts") {
            fakes::sendJsonResponse(response, m_engine.counts());
        } else {
            fakes::sendJsonResponse(response, json::object(), HTTPResponse::HTTP_NOT_FOUND);
        }
    }

private:
    void complete(const json& in, Poco::Net::HTTPServerResponse& response)
    {
        fake_engine::run run(m_engine, in);
        if (run.rejected()) {
            fakes::sendJsonResponse(
                response, json { { "ran", false } }, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            return;
        }
        run.prefill();
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        std::ostream& out = response.send();
        std::uint32_t maxTokens = in.at("max_tokens");
        std::string prompt = in.at("prompt");
        std::string version = in.at("version");
        std::string requestId = in.at("request_id");
        auto faults = m_engine.faults();
        for (std::uint32_t index = in.value("resume_from", 0u); index < maxTokens; ++index) {
            bool cut = faults.cutAfterTokens > 0 && index >= faults.cutAfterTokens;
            if (cut || !out.good() || m_engine.isCancelled(requestId))
                throw Poco::IOException("cut"); // closes the connection before the final events
            while (faults.stallAfterTokens > 0 && index >= faults.stallAfterTokens
                && !m_engine.isCancelled(requestId))
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            json event { { "token_index", index },
                { "choices",
                    json::array(
                        { { { "index", 0 }, { "text", fakes::fakeToken(prompt, version, index) } } }) } };
            out << "data: " << event.dump() << "\n\n" << std::flush;
            std::this_thread::sleep_for(std::chrono::microseconds(m_engine.options().tokenMicroseconds));
        }
        json usage { { "prompt_tokens", run.promptTokens() }, { "cached_tokens", run.cachedTokens() },
            { "completion_tokens", maxTokens } };
        out << "data: " << json { { "finish_reason", "length" }, { "usage", usage } }.dump() << "\n\n";
        out << "data: [DONE]\n\n" << std::flush;
    }

    fake_engine& m_engine;
};

} // namespace

int main(int argc, char** argv)
{
    runtime::blockStopSignals();
    fake_engine engine(fakes::parseFakeOptions(argc, argv));
    runtime::http_limits limits;
    limits.maxConnections = 512;
    runtime::http_listener http(
        engine.options().address, new fakes::handler_factory<engine_handler, fake_engine>(engine), limits);
    fakes::announcer announcer(engine.options(), [&] { return engine.makeAnnouncement(); });
    runtime::waitForSignal();
    return 0;
}
