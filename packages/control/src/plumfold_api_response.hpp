#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <kj/exception.h>

#include <string>

namespace plumfold::control {

/// Response to a call of the platform interface.
struct api_response {
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK;
    std::string body = "{}"; ///< JSON.
};

/// @param message may quote bytes of the request that are not valid UTF-8; they are replaced.
api_response errorResponse(Poco::Net::HTTPResponse::HTTPStatus status, const std::string& message);

/// Logs that an operation failed for want of a quorum.
/// @return the response to the call.
api_response unavailableResponse(const kj::Exception& exception);

} // namespace plumfold::control
