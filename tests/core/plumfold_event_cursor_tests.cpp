#include "plumfold/core/plumfold_event_cursor.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using plumfold::core::event_cursor;

TEST_CASE(
    "A partial event of one attempt is discarded when another attempt continues the stream", "[event_cursor]")
{
    event_cursor cursor;
    CHECK(cursor.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cursor.lastId() == 1);
    CHECK(cursor.partialEventBytes() == 8);
    CHECK(cursor.hasEvents());
    cursor.startAttempt();
    CHECK(cursor.partialEventBytes() == 0);
    CHECK_FALSE(cursor.hasEvents());
    CHECK(cursor.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(cursor.lastId() == 2);
    CHECK(cursor.partialEventBytes() == 0);
}

TEST_CASE("Events are passed on once complete, however the stream is split", "[event_cursor]")
{
    const std::string stream
        = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\rid: 10\ndata: d\n\r\n";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_cursor cursor;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += size)
            passed += cursor.feed(stream.substr(at, size));
        CHECK(passed == stream);
        CHECK(cursor.lastId() == 10);
        CHECK(cursor.partialEventBytes() == 0);
    }
}

TEST_CASE("The time to split a stream grows with its length, not with its square", "[event_cursor]")
{
    constexpr std::size_t pieces = 8192;
    const std::string piece(1024, 'x');
    event_cursor cursor;
    auto start = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < pieces; ++count)
        CHECK(cursor.feed(piece).empty());
    CHECK(cursor.partialEventBytes() == pieces * piece.size());
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
}
