#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// Cuts a text into pieces. Where it is cut depends on the characters before the cut only, so a change of a
/// text changes the pieces around it, and the others stay as they are.
/// @return the pieces in order; none for an empty text.
std::vector<std::string_view> splitIntoPieces(std::string_view text);

/// @return the digest by which a piece is known.
std::uint64_t digestOfPiece(std::string_view piece);

/// A text, described by the digests of its pieces.
struct document_outline {
    std::uint64_t digest = 0; ///< Of the whole text.
    std::vector<std::uint64_t> pieces; ///< Digests, in the order of the text.
    auto operator<=>(const document_outline&) const = default;
};

/// @return the outline of a text.
document_outline outlineOf(std::string_view text);

/// Puts a text together from pieces that arrive in any order, from any sender. Pieces that are known from an
/// earlier text are used again.
class document_assembly {
public:
    /// Sets the text that is wanted. Pieces that it does not have are dropped.
    void start(document_outline outline);

    /// Selects pieces that are neither known nor requested, and marks them as requested.
    /// @param most number of pieces.
    /// @return their digests, in the order of the text.
    std::vector<std::uint64_t> request(std::size_t most);
    /// Marks all pieces that are not known as not requested.
    void resetRequests();

    /// Adds a piece; ignored if the text does not have it.
    void add(std::string piece);

    /// @return whether all pieces are known.
    bool isComplete() const { return m_unknown == 0; }

    /// @return the text; nothing if pieces are missing or the text differs from its digest. In the latter
    /// case all pieces are dropped.
    std::optional<std::string> takeText();

private:
    struct known_piece {
        std::string text;
        bool isKnown = false;
        bool isRequested = false;
    };
    document_outline m_outline;
    std::map<std::uint64_t, known_piece> m_pieces; // of the text that is wanted, by digest
    std::size_t m_unknown = 0;
};

} // namespace plumfold::core
