#include "plumfold_kept_callers.hpp"

#include <Poco/Exception.h>

namespace plumfold::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* paths[]
    = { "/shop/whole", "/shop/slow", "/stock/whole", "/words/events-paced", "/notes/events" };
constexpr unsigned maxBehindEachOther = 4;

/// Sends requests behind each other, in one segment or one after another.
void sendAll(
    raw_caller& caller, std::vector<kept_request>& requests, bool isOneSegment, std::minstd_rand& random)
{
    std::string bytes;
    for (auto& each : requests) {
        bytes += forwarding_system::requestBytes(paths[random() % std::size(paths)], each.id, "order");
        each.sentAt = steady_clock::now();
        if (isOneSegment && &each != &requests.back())
            continue;
        caller.send(bytes);
        bytes.clear();
        if (!isOneSegment)
            std::this_thread::sleep_for(milliseconds(random() % 100));
    }
}

} // namespace

kept_callers::kept_callers(forwarding_system& system, int entries, int callers, unsigned seed)
    : m_system(system)
    , m_entries(static_cast<unsigned>(entries))
{
    for (int number = 0; number < callers; ++number)
        m_threads.emplace_back([this, seed, number] { run(seed + static_cast<unsigned>(number)); });
}

kept_callers::~kept_callers()
{
    stop();
}

void kept_callers::stop()
{
    m_isStopping = true;
    for (auto& each : m_threads)
        each.join();
    m_threads.clear();
}

void kept_callers::run(unsigned seed)
{
    std::minstd_rand random(seed);
    while (!m_isStopping) {
        try {
            raw_caller caller(m_system.callerAddress(static_cast<int>(1 + random() % m_entries)));
            while (exchange(caller, random) && !m_isStopping)
                std::this_thread::sleep_for(milliseconds(random() % 60));
        } catch (const Poco::Exception&) {
            // The entry has stopped and does not listen yet.
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
}

/// Sends some requests and reads their responses.
/// @return whether the connection stays open.
bool kept_callers::exchange(raw_caller& caller, std::minstd_rand& random)
{
    std::vector<kept_request> sent(1 + random() % maxBehindEachOther);
    for (auto& each : sent)
        each.id = forwarding_system::nextId();
    bool isOneSegment = random() % 2 == 0;
    try {
        sendAll(caller, sent, isOneSegment, random);
    } catch (const Poco::Exception&) {
        // The entry has closed the connection; what it has received before may have responses.
        std::erase_if(sent, [](const auto& each) { return each.sentAt == steady_clock::time_point(); });
    }
    bool isAnnounced = false;
    bool isOpen = true;
    bool hasFormerResponse = false;
    for (auto& each : sent) {
        auto response = caller.receive();
        each.status = response.status;
        each.isComplete = response.isComplete;
        each.isBehind = isOneSegment && hasFormerResponse;
        each.isCloseAnnounced = isAnnounced;
        each.openFor = steady_clock::now() - each.sentAt;
        hasFormerResponse = response.isComplete;
        isAnnounced |= response.headers.find("connection: close") != std::string::npos;
        isOpen = isOpen && response.isComplete;
    }
    std::lock_guard lock(m_mutex);
    m_requests.insert(m_requests.end(), sent.begin(), sent.end());
    return isOpen && !isAnnounced;
}

} // namespace plumfold::tests
