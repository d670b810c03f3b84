#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace plumfold::runtime {

/// What a response is, by its head.
enum class response_kind {
    interim, ///< Another response to the same request follows.
    final,
    malformed, ///< No response in the protocol, or one whose body cannot be delimited safely.
};

/// Classifies a head that Beast's parser has accepted. The parser rejects malformed lines, names and values
/// of fields, doubled lengths, and a length beside chunks; it accepts any status of three digits, any
/// version, and unknown transfer codings. All readers of responses use this function.
response_kind classifyResponse(const boost::beast::http::response_header<>& head);

} // namespace plumfold::runtime
