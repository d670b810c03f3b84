#include "plumfold_process_usage.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>

namespace plumfold::benchmarks {

namespace {

constexpr int userTicksField = 14; // of /proc/PID/stat, counted from 1
constexpr int systemTicksField = 15;
constexpr int firstFieldAfterName = 3;

std::string procFile(int pid, const char* name)
{
    return "/proc/" + std::to_string(pid) + '/' + name;
}

} // namespace

double cpuSeconds(int pid)
{
    std::ifstream in(procFile(pid, "stat"));
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int index = firstFieldAfterName; rest >> field; ++index) {
        if (index == userTicksField || index == systemTicksField)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMegabytes(int pid)
{
    std::ifstream in(procFile(pid, "statm"));
    long pages = 0;
    long resident = 0;
    in >> pages >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

} // namespace plumfold::benchmarks
