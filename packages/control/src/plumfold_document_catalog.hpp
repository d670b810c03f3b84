#pragma once

#include "plumfold/core/plumfold_document_pieces.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace plumfold::control {

/// The current document in compressed pieces, as entries ask for them.
class document_catalog {
public:
    /// Replaces the document. Pieces that it shares with the former one are kept.
    void update(const std::string& text);

    const core::document_outline& outline() const { return m_outline; }

    /// @return a compressed piece of the current document, or null.
    const std::string* find(std::uint64_t digest) const;

private:
    core::document_outline m_outline;
    std::map<std::uint64_t, std::string> m_pieces; // compressed, by digest
};

} // namespace plumfold::control
