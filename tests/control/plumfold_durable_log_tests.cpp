#include "plumfold/control/plumfold_durable_log.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>

using namespace plumfold;

namespace {

/// A data folder that is removed with the test.
class data_folder {
public:
    data_folder()
    {
        std::string folderTemplate
            = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
        m_path = ::mkdtemp(folderTemplate.data());
    }
    ~data_folder() { std::filesystem::remove_all(m_path); }

    std::filesystem::path operator/(const std::string& file) const { return m_path / file; }
    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace

// Guards against a partial file of a process that was killed during a compaction, which would keep its space
// on a disk that is almost full.
TEST_CASE("Partial files of an earlier process are removed when a data folder is opened", "[control][disk]")
{
    data_folder folder;
    REQUIRE(control::durable_log::open(folder.path(), 0).ok());
    std::string name = GENERATE("snapshot.new", "log.new", "identity.new");
    CAPTURE(name);
    std::ofstream(folder / name) << std::string(100'000, 'x');
    REQUIRE(std::filesystem::exists(folder / name));
    auto log = control::durable_log::open(folder.path(), 0);
    REQUIRE(log.ok());
    CHECK_FALSE(std::filesystem::exists(folder / name));
}

// Guards against a file that is left behind when it cannot take the place of the former one.
TEST_CASE("A file that cannot be renamed is removed", "[control][disk]")
{
    data_folder folder;
    auto log = control::durable_log::open(folder.path(), 0);
    REQUIRE(log.ok());
    // A folder of the snapshot's name lets the rename fail.
    std::filesystem::create_directories(folder / "snapshot");
    std::ofstream(folder / "snapshot/file") << "x";
    CHECK_FALSE((*log)->compact({}, {}, {}).ok());
    CHECK_FALSE(std::filesystem::exists(folder / "snapshot.new"));
}
