#include "plumfold_stream_journal.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/resource.h>
#include <thread>

using namespace plumfold;

namespace {

using core::milliseconds;

/// A data folder that is removed with the test.
class journal_folder {
public:
    journal_folder()
    {
        std::string folderTemplate
            = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
        m_path = ::mkdtemp(folderTemplate.data());
    }
    ~journal_folder() { std::filesystem::remove_all(m_path); }

    std::string path() const { return m_path.string(); }
    std::filesystem::path segment(int number) const { return m_path / ("streams-" + std::to_string(number)); }
    std::uintmax_t bytes() const
    {
        std::uintmax_t sum = 0;
        for (const auto& each : std::filesystem::directory_iterator(m_path))
            sum += each.file_size();
        return sum;
    }

    /// Appends records with numbers from first on, in one life of a journal.
    void append(std::uint64_t first, std::uint64_t count, milliseconds keepFor = milliseconds(5'000)) const
    {
        control::stream_journal journal(path());
        // What is read back is kept as long again as when it was appended.
        std::this_thread::sleep_for(std::min(2 * keepFor, milliseconds(20)));
        for (auto number = first; number < first + count; ++number)
            journal.append({ number, { "shop", "v1" }, keepFor });
    }

    /// @return the numbers of the records that a process finds when it starts, in order.
    std::vector<std::uint64_t> read() const
    {
        control::stream_journal journal(path());
        std::vector<std::uint64_t> numbers;
        for (const auto& each : journal.takeRecords())
            numbers.push_back(each.stream);
        std::sort(numbers.begin(), numbers.end());
        return numbers;
    }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("Records of streams are read back after a restart", "[control][journal]")
{
    journal_folder folder;
    CHECK(folder.read().empty());
    CHECK(std::filesystem::is_empty(folder.path())); // nothing is created before there is a record
    folder.append(1, 2);
    folder.append(3, 1);
    CHECK(folder.read() == std::vector<std::uint64_t> { 1, 2, 3 });
    control::stream_journal journal(folder.path());
    auto records = journal.takeRecords();
    REQUIRE(records.size() == 3);
    CHECK(records.front() == core::stream_record { 1, { "shop", "v1" }, milliseconds(5'000) });
}

// Guards against a journal that cannot be read, or whose later records are lost, after a torn write.
TEST_CASE(
    "Records behind a torn or damaged one are not read, and later ones take its place", "[control][journal]")
{
    journal_folder folder;
    folder.append(1, 3);
    auto size = std::filesystem::file_size(folder.segment(0));
    SECTION("the last write was torn")
    {
        std::filesystem::resize_file(folder.segment(0), size - 5);
        CHECK(folder.read() == std::vector<std::uint64_t> { 1, 2 });
    }
    SECTION("the last write left zeros")
    {
        std::filesystem::resize_file(folder.segment(0), size - 30);
        std::filesystem::resize_file(folder.segment(0), size + 100);
        CHECK(folder.read() == std::vector<std::uint64_t> { 1, 2 });
    }
    SECTION("a byte in the middle was changed")
    {
        std::fstream file(folder.segment(0), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(size / 2));
        file.put('\x55');
        file.close();
        CHECK(folder.read() == std::vector<std::uint64_t> { 1 });
    }
    auto before = folder.read();
    folder.append(10, 1);
    before.push_back(10);
    CHECK(folder.read() == before);
}

// Guards against a journal that grows with every stream.
TEST_CASE("The files of a journal stay small while its records expire", "[control][journal]")
{
    journal_folder folder;
    for (std::uint64_t round = 0; round < 10; ++round)
        folder.append(1 + 2'000 * round, 2'000, milliseconds(1));
    CHECK(folder.bytes() < 1 << 20); // 20,000 records have some 1.5 MB
    auto numbers = folder.read();
    CHECK(std::find(numbers.begin(), numbers.end(), 20'000u) != numbers.end());
}

// Guards against a full disk that ends the process, or after which nothing is written any more.
TEST_CASE("A journal whose disk was full writes again when there is room", "[control][journal][disk]")
{
    journal_folder folder;
    folder.append(1, 3);
    rlimit unlimited {};
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &unlimited) == 0);
    auto former = std::signal(SIGXFSZ, SIG_IGN);
    {
        control::stream_journal journal(folder.path());
        rlimit full { std::filesystem::file_size(folder.segment(0)) + 20, unlimited.rlim_max };
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
        journal.append({ 4, { "shop", "v1" }, milliseconds(5'000) });
        std::this_thread::sleep_for(milliseconds(300));
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &unlimited) == 0);
        journal.append({ 5, { "shop", "v1" }, milliseconds(5'000) });
    }
    std::signal(SIGXFSZ, former);
    CHECK(folder.read() == std::vector<std::uint64_t> { 1, 2, 3, 5 });
}
