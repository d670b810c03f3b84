#include "plumfold_usage_reporter.hpp"

namespace plumfold::entry {

namespace {

constexpr core::milliseconds batchInterval { 1000 };
constexpr core::milliseconds batchTimeout { 2000 };

} // namespace

usage_reporter::usage_reporter(control_client& control, std::string source, std::uint64_t incarnation)
    : m_control(control)
    , m_source(std::move(source))
    , m_incarnation(incarnation)
    , m_thread([this] { run(); })
{
    m_batch.source = m_source;
    m_batch.incarnation = m_incarnation;
}

usage_reporter::~usage_reporter()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    if (sendBatch())
        sendBatch(); // the first call may have sent an older batch
}

void usage_reporter::add(const core::usage_row& row)
{
    std::lock_guard lock(m_mutex);
    auto& sum = m_pendingRows[{ row.customer, row.model }];
    sum.customer = row.customer;
    sum.model = row.model;
    sum += row;
}

void usage_reporter::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, batchInterval, [this] { return m_stopping; });
        lock.unlock();
        sendBatch();
        lock.lock();
    }
}

bool usage_reporter::sendBatch()
{
    if (m_batch.rows.empty()) {
        std::lock_guard lock(m_mutex);
        if (m_pendingRows.empty())
            return false;
        for (const auto& [key, row] : m_pendingRows)
            m_batch.rows.push_back(row);
        m_pendingRows.clear();
        m_batch.sequence += 1;
    }
    if (!m_control.submit(core::command { 0, m_batch }, batchTimeout).ok())
        return false;
    m_batch.rows.clear();
    return true;
}

} // namespace plumfold::entry
