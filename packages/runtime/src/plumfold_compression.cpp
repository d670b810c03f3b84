#include "plumfold/runtime/plumfold_compression.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <sstream>

namespace plumfold::runtime {

std::string compress(std::string_view bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream stream(out);
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.close();
    return out.str();
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    // The library writes nothing for no bytes.
    if (compressed.empty())
        return std::string();
    Poco::MemoryInputStream in(compressed.data(), static_cast<std::streamsize>(compressed.size()));
    Poco::InflatingInputStream stream(in);
    stream.exceptions(std::ios::badbit); // passes errors of the library on
    std::string out(maxBytes + 1, '\0');
    try {
        stream.read(out.data(), static_cast<std::streamsize>(out.size()));
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
    out.resize(static_cast<std::size_t>(stream.gcount()));
    return out.size() > maxBytes ? std::nullopt : std::optional(std::move(out));
}

} // namespace plumfold::runtime
