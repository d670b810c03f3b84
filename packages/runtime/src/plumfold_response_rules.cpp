#include "plumfold/runtime/plumfold_response_rules.hpp"

#include <boost/beast/core/string.hpp>

namespace plumfold::runtime {

namespace {

namespace http = boost::beast::http;

constexpr unsigned http10 = 10;
constexpr unsigned http11 = 11;
constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

/// @return whether the body is framed as it is or in chunks, and in no other coding.
bool isTransferCodingKnown(const http::response_header<>& head)
{
    auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last)
        return true;
    bool isOnly = std::next(first) == last;
    return isOnly && head.version() == http11 && boost::beast::iequals(first->value(), "chunked");
}

} // namespace

response_kind classifyResponse(const http::response_header<>& head)
{
    auto status = head.result_int();
    bool isVersionKnown = head.version() == http10 || head.version() == http11;
    // Nothing here asks for another protocol.
    bool isStatusKnown = status >= firstStatus && status <= lastStatus && status != switchingProtocols;
    if (!isVersionKnown || !isStatusKnown || !isTransferCodingKnown(head))
        return response_kind::malformed;
    return status < firstFinalStatus ? response_kind::interim : response_kind::final;
}

} // namespace plumfold::runtime
