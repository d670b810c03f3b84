#include "plumfold_record_frame.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <cstdint>
#include <cstring>
#include <fstream>
#include <sstream>

namespace plumfold::control {

std::string frame(const std::string& payload)
{
    auto length = static_cast<std::uint32_t>(payload.size());
    std::uint64_t checksum = core::hashBytes(payload, length);
    std::string out(frameHeaderBytes, '\0');
    std::memcpy(out.data(), &length, sizeof(length));
    std::memcpy(out.data() + sizeof(length), &checksum, sizeof(checksum));
    return out + payload;
}

frame_result readFrame(std::string_view bytes, std::size_t offset)
{
    if (offset == bytes.size())
        return { frame_state::end, {} };
    if (bytes.size() - offset < frameHeaderBytes)
        return { frame_state::torn, {} };
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, bytes.data() + offset, sizeof(length));
    std::memcpy(&checksum, bytes.data() + offset + sizeof(length), sizeof(checksum));
    std::size_t left = bytes.size() - offset - frameHeaderBytes;
    if (length > left)
        return { frame_state::torn, {} };
    std::string_view payload = bytes.substr(offset + frameHeaderBytes, length);
    if (length > 0 && core::hashBytes(payload, length) == checksum)
        return { frame_state::valid, payload };
    bool zeroTail = bytes.find_first_not_of('\0', offset) == std::string_view::npos;
    return { length == left || zeroTail ? frame_state::torn : frame_state::corrupt, {} };
}

std::string readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::stringstream bytes;
    bytes << in.rdbuf();
    return bytes.str();
}

} // namespace plumfold::control
