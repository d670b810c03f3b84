#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace plumfold::control {

inline constexpr std::size_t frameHeaderBytes = 12; ///< Length (4 bytes) and checksum (8 bytes).

/// @return a record of a file: length, checksum and payload.
std::string frame(const std::string& payload);

enum class frame_state { valid, torn, corrupt, end };

struct frame_result {
    frame_state state = frame_state::end;
    std::string_view payload;
};

/// Reads the record at an offset. A record is a torn write, left by a crash, if it extends beyond the end of
/// the file, if its checksum is wrong and it is the last one, or if only zeros follow from its start on. Any
/// other record with a wrong checksum is corrupt.
frame_result readFrame(std::string_view bytes, std::size_t offset);

/// @return the content of a file; empty if it cannot be read.
std::string readFile(const std::string& path);

} // namespace plumfold::control
