#pragma once

#include <cstdint>
#include <string>

namespace plumfold::fakes {

/// @return the token that every fake engine produces at a position; tests compare answers with it.
std::string fakeToken(const std::string& prompt, const std::string& version, std::uint32_t index);

/// @return the whole answer.
std::string fakeCompletionText(const std::string& prompt, const std::string& version, std::uint32_t tokens);

} // namespace plumfold::fakes
