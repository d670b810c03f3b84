#pragma once

#include <cstdint>
#include <string>

namespace plumfold::runtime {

/// @return the SHA-256 of a text as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string& text);

/// Compares two secrets of equal length in constant time, which prevents timing attacks.
/// @return whether they are equal.
bool secretsMatch(const std::string& a, const std::string& b);

/// @return 64 cryptographically secure random bits.
/// @throws std::runtime_error when the random source fails.
std::uint64_t randomNumber();

/// @return that many cryptographically secure random bytes in lower-case hexadecimal.
/// @throws std::runtime_error when the random source fails.
std::string randomHex(std::size_t bytes);

} // namespace plumfold::runtime
