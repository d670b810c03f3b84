#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

namespace plumfold::fakes {

/// Creates one handler per request. All handlers share one state, which must outlive the factory.
template <class Handler, class State>
class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(State& state)
        : m_state(state)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new Handler(m_state);
    }

private:
    State& m_state;
};

/// Sends a response with a JSON body and its content length.
inline void sendJsonResponse(Poco::Net::HTTPServerResponse& response, const nlohmann::json& body,
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK)
{
    std::string text = body.dump();
    response.setStatus(status);
    response.setContentType("application/json");
    response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    response.send() << text << std::flush;
}

} // namespace plumfold::fakes
