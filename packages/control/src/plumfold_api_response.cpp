#include "plumfold_api_response.hpp"

#include "plumfold/runtime/plumfold_log.hpp"

#include <nlohmann/json.hpp>

namespace plumfold::control {

api_response errorResponse(Poco::Net::HTTPResponse::HTTPStatus status, const std::string& message)
{
    nlohmann::json body { { "error", message } };
    return { status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

api_response unavailableResponse(const kj::Exception& exception)
{
    runtime::log_event("quorum_not_reached", runtime::log_level::warning)
        .with("reason", exception.getDescription().cStr());
    return errorResponse(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
        "no quorum of control VMs answered in time: try again, or another control VM");
}

} // namespace plumfold::control
