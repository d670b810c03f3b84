#pragma once

#include "plumfold/wire/plumfold_convert.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

namespace plumfold::wire {

template <class Schema, class Value> std::string encode(const Value& value)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Schema>(), value);
    kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    auto bytes = words.asChars();
    return std::string(bytes.begin(), bytes.size());
}

template <class Schema> auto decode(std::string_view bytes)
{
    // The bytes of a log entry or file may be unaligned; the reader needs whole, aligned words.
    auto words = kj::heapArray<capnp::word>((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = UINT64_MAX; // trusted local data; RPCs keep the library's limit
    capnp::FlatArrayMessageReader message(words, options);
    return read(message.getRoot<Schema>());
}

} // namespace plumfold::wire
