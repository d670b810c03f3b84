#include "plumfold/core/plumfold_document_pieces.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>

using namespace plumfold::core;

namespace {

std::string randomText(std::size_t bytes, unsigned seed)
{
    std::minstd_rand random(seed);
    std::string text(bytes, ' ');
    for (auto& each : text)
        each = static_cast<char>('a' + random() % 26);
    return text;
}

std::size_t countNew(const document_outline& before, const document_outline& after)
{
    std::set<std::uint64_t> known(before.pieces.begin(), before.pieces.end());
    return static_cast<std::size_t>(std::count_if(
        after.pieces.begin(), after.pieces.end(), [&](auto digest) { return !known.contains(digest); }));
}

std::map<std::uint64_t, std::string> piecesOf(const std::string& text)
{
    std::map<std::uint64_t, std::string> pieces;
    for (auto piece : splitIntoPieces(text))
        pieces[digestOfPiece(piece)] = piece;
    return pieces;
}

} // namespace

TEST_CASE("Pieces joined in order are the text", "[core][pieces]")
{
    rc::prop("for any text", [] {
        auto text = randomText(*rc::gen::inRange<std::size_t>(0, 200'000), *rc::gen::arbitrary<unsigned>());
        std::string joined;
        for (auto piece : splitIntoPieces(text)) {
            RC_ASSERT(!piece.empty());
            RC_ASSERT(piece.size() <= 8u << 10);
            joined += piece;
        }
        RC_ASSERT(joined == text);
    });
    rc::prop("also for one that repeats itself", [] {
        auto unit = randomText(*rc::gen::inRange<std::size_t>(1, 5'000), *rc::gen::arbitrary<unsigned>());
        std::string text, joined;
        while (text.size() < 60'000)
            text += unit;
        for (auto piece : splitIntoPieces(text))
            joined += piece;
        RC_ASSERT(joined == text);
    });
}

TEST_CASE("A change of a text leaves most pieces as they are", "[core][pieces]")
{
    rc::prop("wherever it is", [] {
        auto text = randomText(400'000, *rc::gen::arbitrary<unsigned>());
        auto before = outlineOf(text);
        auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        auto removed = *rc::gen::inRange<std::size_t>(0, 500);
        auto added = randomText(*rc::gen::inRange<std::size_t>(0, 500), *rc::gen::arbitrary<unsigned>());
        text.replace(at, removed, added);
        // The piece of the change, and those up to the next cut that both texts have.
        RC_ASSERT(countNew(before, outlineOf(text)) <= 8);
    });
}

TEST_CASE("A text is put together from pieces in any order", "[core][pieces]")
{
    rc::prop("with losses and pieces of other texts between them", [] {
        auto text = randomText(*rc::gen::inRange<std::size_t>(1, 100'000), *rc::gen::arbitrary<unsigned>());
        auto pieces = piecesOf(text);
        document_assembly assembly;
        assembly.start(outlineOf(text));
        unsigned calls = 0;
        std::map<std::uint64_t, int> losses;
        while (!assembly.isComplete()) {
            RC_ASSERT(++calls < 1'000);
            auto requested = assembly.request(*rc::gen::inRange<std::size_t>(1, 5));
            if (requested.empty()) {
                assembly.resetRequests();
                continue;
            }
            std::reverse(requested.begin(), requested.end());
            for (auto digest : requested) {
                assembly.add("not a piece of the text");
                bool isLost = *rc::gen::inRange(0, 3) == 0 && losses[digest] < 2;
                losses[digest] += isLost;
                if (!isLost)
                    assembly.add(pieces.at(digest));
            }
        }
        RC_ASSERT(assembly.takeText() == text);
    });
}

TEST_CASE("Pieces that the next text has too are not requested again", "[core][pieces]")
{
    auto text = randomText(200'000, 7);
    document_assembly assembly;
    assembly.start(outlineOf(text));
    for (const auto& [digest, piece] : piecesOf(text))
        assembly.add(piece);
    REQUIRE(assembly.takeText() == text);
    auto before = outlineOf(text);
    text.insert(100'000, "another route");
    assembly.start(outlineOf(text));
    auto requested = assembly.request(1'000);
    CHECK(requested.size() == countNew(before, outlineOf(text)));
    CHECK(assembly.request(1'000).empty());
    auto pieces = piecesOf(text);
    for (auto digest : requested)
        assembly.add(pieces.at(digest));
    CHECK(assembly.takeText() == text);
}

TEST_CASE(
    "A text that differs from its digest is not used, and its pieces are requested again", "[core][pieces]")
{
    auto text = randomText(50'000, 9);
    auto outline = outlineOf(text);
    ++outline.digest;
    document_assembly assembly;
    assembly.start(outline);
    for (const auto& [digest, piece] : piecesOf(text))
        assembly.add(piece);
    REQUIRE(assembly.isComplete());
    CHECK_FALSE(assembly.takeText());
    CHECK_FALSE(assembly.isComplete());
    CHECK_FALSE(assembly.request(1).empty());
}

TEST_CASE("An empty text is complete at once", "[core][pieces]")
{
    document_assembly assembly;
    assembly.start(outlineOf(""));
    CHECK(assembly.isComplete());
    CHECK(assembly.takeText() == "");
}
