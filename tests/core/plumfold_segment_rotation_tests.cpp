#include "plumfold/core/plumfold_segment_rotation.hpp"

#include <catch2/catch.hpp>

using namespace plumfold;

namespace {

constexpr core::segment_limits limits { 100, 1'000 };
constexpr core::instant start {};
constexpr core::milliseconds keepTime { 10'000 };

} // namespace

TEST_CASE("A small segment is not left", "[journal]")
{
    core::segment_rotation rotation(limits);
    rotation.onAppended(0, 99, start + keepTime);
    CHECK_FALSE(rotation.isDue(start));
    rotation.onAppended(0, 1, start + keepTime);
    CHECK(rotation.isDue(start)); // the other one is empty
}

// Guards against records that are dropped while they are wanted.
TEST_CASE("A segment is kept until its last record expires", "[journal]")
{
    core::segment_rotation rotation(limits);
    rotation.onAppended(0, 100, start + keepTime);
    rotation.rotate();
    REQUIRE(rotation.current() == 1);
    rotation.onAppended(1, 200, start + 2 * keepTime);
    CHECK_FALSE(rotation.isDue(start + keepTime / 2));
    CHECK(rotation.isDue(start + keepTime));
    rotation.rotate();
    CHECK(rotation.current() == 0);
    CHECK_FALSE(rotation.isDue(start + 3 * keepTime));
}

// Guards against a journal that fills the disk.
TEST_CASE("A segment at its limit is left although the other one is wanted", "[journal]")
{
    core::segment_rotation rotation(limits);
    rotation.onAppended(0, 100, start + keepTime);
    rotation.rotate();
    rotation.onAppended(1, 999, start + keepTime);
    CHECK_FALSE(rotation.isDue(start));
    rotation.onAppended(1, 1, start + keepTime);
    CHECK(rotation.isDue(start));
}
