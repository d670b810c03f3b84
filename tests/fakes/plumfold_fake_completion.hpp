#pragma once

#include <cstdint>
#include <string>

namespace plumfold::fakes {

/// Every fake engine generates the same tokens for a prompt and weight version, so tests can check responses.
/// @param prompt the whole prompt.
/// @param version the weight version.
/// @param index position of the token, from 0.
/// @return the token with a trailing space.
std::string fakeToken(const std::string& prompt, const std::string& version, std::uint32_t index);

/// @param tokens number of tokens to generate.
/// @return the concatenated tokens of a complete response.
std::string fakeCompletionText(const std::string& prompt, const std::string& version, std::uint32_t tokens);

} // namespace plumfold::fakes
