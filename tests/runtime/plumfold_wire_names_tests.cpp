#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string contentOf(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Standard HTTP headers, which plumfold's own interface uses as well.
const std::set<std::string> httpNames { "\"Retry-After\"" };

/// @return the quoted names that the platform folder declares.
std::set<std::string> platformNames()
{
    const std::filesystem::path folder = PLUMFOLD_SOURCE_FOLDER;
    auto text = contentOf(folder / "platform/include/plumfold/platform/plumfold_platform_names.hpp");
    std::set<std::string> names;
    std::regex quoted("\"[^\"]+\"");
    for (std::sregex_iterator each(text.begin(), text.end(), quoted), end; each != end; ++each)
        if (!httpNames.contains(each->str()))
            names.insert(each->str());
    return names;
}

} // namespace

TEST_CASE("Names of the platform interface occur only in the platform folder", "[platform]")
{
    auto names = platformNames();
    REQUIRE(names.size() > 20);
    const std::filesystem::path packages = std::filesystem::path(PLUMFOLD_SOURCE_FOLDER) / "packages";
    for (const auto& file : std::filesystem::recursive_directory_iterator(packages)) {
        auto extension = file.path().extension();
        if (extension != ".cpp" && extension != ".hpp")
            continue;
        auto text = contentOf(file.path());
        for (const auto& name : names) {
            INFO(file.path() << " spells " << name);
            CHECK(text.find(name) == std::string::npos);
        }
    }
}
