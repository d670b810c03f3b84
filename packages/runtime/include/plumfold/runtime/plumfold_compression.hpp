#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace plumfold::runtime {

/// @return the bytes, compressed in the zlib format.
std::string compress(std::string_view bytes);

/// @param maxBytes longest result in bytes.
/// @return the bytes that compress() was given; nothing if the input is damaged or the result too long.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace plumfold::runtime
