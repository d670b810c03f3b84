#include "plumfold/core/plumfold_document_pieces.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace plumfold::core {

namespace {

constexpr std::size_t minPieceBytes = 512;
constexpr std::size_t maxPieceBytes = 8 << 10;
/// The upper 10 bits of the rolling hash, which depend on the last 64 bytes. All are zero once in 1 KiB of
/// random text, and less often in text that repeats itself.
constexpr std::uint64_t cutMask = 0xffc0'0000'0000'0000;

std::array<std::uint64_t, 256> makeByteHashes()
{
    std::array<std::uint64_t, 256> hashes {};
    for (std::size_t byte = 0; byte < hashes.size(); ++byte) {
        auto character = static_cast<char>(byte);
        hashes[byte] = hashBytes({ &character, 1 });
    }
    return hashes;
}

/// @return the size of the first piece of a text.
std::size_t firstPieceSize(std::string_view text)
{
    static const auto byteHashes = makeByteHashes();
    if (text.size() <= minPieceBytes)
        return text.size();
    auto end = std::min(text.size(), maxPieceBytes);
    // The hash rolls, since each shift moves the oldest byte closer to the end of the word.
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at < end; ++at) {
        hash = (hash << 1) + byteHashes[static_cast<unsigned char>(text[at])];
        if (at + 1 >= minPieceBytes && (hash & cutMask) == 0)
            return at + 1;
    }
    return end;
}

} // namespace

std::vector<std::string_view> splitIntoPieces(std::string_view text)
{
    std::vector<std::string_view> pieces;
    while (!text.empty()) {
        auto size = firstPieceSize(text);
        pieces.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return pieces;
}

std::uint64_t digestOfPiece(std::string_view piece)
{
    return hashBytes(piece, piece.size());
}

document_outline outlineOf(std::string_view text)
{
    document_outline out { hashBytes(text), {} };
    for (auto piece : splitIntoPieces(text))
        out.pieces.push_back(digestOfPiece(piece));
    return out;
}

void document_assembly::start(document_outline outline)
{
    std::map<std::uint64_t, known_piece> pieces;
    for (auto digest : outline.pieces) {
        auto known = m_pieces.extract(digest);
        if (known)
            pieces.insert(std::move(known));
        else
            pieces.try_emplace(digest);
    }
    m_pieces = std::move(pieces);
    m_outline = std::move(outline);
    m_unknown = 0;
    for (const auto& [digest, piece] : m_pieces)
        m_unknown += !piece.isKnown;
}

std::vector<std::uint64_t> document_assembly::request(std::size_t most)
{
    std::vector<std::uint64_t> out;
    for (auto digest : m_outline.pieces) {
        if (out.size() == most)
            break;
        auto& piece = m_pieces.at(digest);
        if (piece.isKnown || piece.isRequested)
            continue;
        piece.isRequested = true;
        out.push_back(digest);
    }
    return out;
}

void document_assembly::resetRequests()
{
    for (auto& [digest, piece] : m_pieces)
        piece.isRequested = false;
}

void document_assembly::add(std::string piece)
{
    auto found = m_pieces.find(digestOfPiece(piece));
    if (found == m_pieces.end() || found->second.isKnown)
        return;
    found->second.text = std::move(piece);
    found->second.isKnown = true;
    --m_unknown;
}

std::optional<std::string> document_assembly::takeText()
{
    if (!isComplete())
        return std::nullopt;
    std::string text;
    for (auto digest : m_outline.pieces)
        text += m_pieces.at(digest).text;
    if (hashBytes(text) == m_outline.digest)
        return text;
    m_pieces.clear();
    start(m_outline);
    return std::nullopt;
}

} // namespace plumfold::core
