#include "plumfold/core/plumfold_event_cursor.hpp"

#include <catch2/catch.hpp>

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
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 10\ndata: c\n\n";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_cursor cursor;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += size)
            passed += cursor.feed(stream.substr(at, size));
        CHECK(passed == stream);
        CHECK(cursor.lastId() == 10);
    }
}
