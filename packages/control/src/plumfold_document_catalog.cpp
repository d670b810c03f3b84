#include "plumfold_document_catalog.hpp"

#include "plumfold/runtime/plumfold_compression.hpp"

#include <utility>

namespace plumfold::control {

void document_catalog::update(const std::string& text)
{
    auto former = std::exchange(m_pieces, {});
    m_outline = core::outlineOf(text);
    for (auto piece : core::splitIntoPieces(text)) {
        auto digest = core::digestOfPiece(piece);
        if (auto known = former.extract(digest))
            m_pieces.insert(std::move(known));
        else if (!m_pieces.contains(digest))
            m_pieces.emplace(digest, runtime::compress(piece));
    }
}

const std::string* document_catalog::find(std::uint64_t digest) const
{
    auto found = m_pieces.find(digest);
    return found == m_pieces.end() ? nullptr : &found->second;
}

} // namespace plumfold::control
