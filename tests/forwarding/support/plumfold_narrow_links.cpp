#include "plumfold_narrow_links.hpp"

#include <array>

namespace plumfold::tests {

namespace {

namespace asio = boost::asio;

constexpr std::size_t chunkBytes = 1460; // a segment of TCP
/// Small buffers, so that a connection that is closed leaves little behind that was already sent.
constexpr int socketBufferBytes = 16 << 10;
constexpr std::chrono::milliseconds holdInterval { 5 }; // at which held connections are looked at

asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
}

Poco::Net::SocketAddress pocoAddress(const asio::ip::tcp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

} // namespace

void narrow_links::connection::close()
{
    boost::system::error_code ignored;
    for (auto* socket : { &near, &far }) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

narrow_links::narrow_links()
    : m_work(m_io.get_executor())
    , m_thread([this] { m_io.run(); })
{
}

narrow_links::~narrow_links()
{
    m_io.stop();
    m_thread.join();
}

void narrow_links::carry(const std::string& from, const std::string& to)
{
    auto acceptor = std::make_shared<tcp::acceptor>(m_io, endpointOf(from));
    asio::co_spawn(m_io, accept(std::move(acceptor), endpointOf(to)), asio::detached);
}

void narrow_links::setRate(int process, double bytesPerSecond)
{
    m_owners.set(process, link_state::whole);
    std::lock_guard lock(m_mutex);
    m_links[process].toProcess.bytesPerSecond = bytesPerSecond;
    m_links[process].fromProcess.bytesPerSecond = bytesPerSecond;
}

void narrow_links::reset(int process)
{
    asio::post(m_io, [this, process] {
        for (const auto& each : m_connections) {
            if (auto open = each.lock(); open && open->process == process)
                open->close();
        }
    });
}

void narrow_links::isolate(int process, const std::string& address, const std::set<int>& others)
{
    m_owners.set(process, link_state::whole);
    for (int other : others)
        m_owners.set(other, link_state::whole);
    asio::post(m_io, [this, isolated = isolation { process, endpointOf(address), others }] {
        m_isolation = isolated;
        // Processes are known once they have started, so connections may be older than the question.
        for (const auto& each : m_connections) {
            if (auto open = each.lock(); open && open->process == 0)
                open->process = ownerOf(*open);
        }
    });
}

void narrow_links::release()
{
    asio::post(m_io, [this] { m_isolation.reset(); });
}

int narrow_links::ownerOf(const connection& each) const
{
    return m_owners.ownerOf(pocoAddress(each.peer), pocoAddress(each.listener));
}

bool narrow_links::isHeld(const connection& each) const
{
    if (!m_isolation)
        return false;
    return each.process == m_isolation->process
        || (m_isolation->others.contains(each.process) && each.listener == m_isolation->address);
}

std::size_t narrow_links::bytesTo(int process) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_links.find(process);
    return found == m_links.end() ? 0 : found->second.toProcess.bytes;
}

std::size_t narrow_links::connectionsOf(int process) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_links.find(process);
    return found == m_links.end() ? 0 : found->second.connections;
}

asio::awaitable<void> narrow_links::accept(std::shared_ptr<tcp::acceptor> acceptor, tcp::endpoint to)
{
    while (true) {
        auto accepted = std::make_shared<connection>(m_io);
        co_await acceptor->async_accept(accepted->near, asio::use_awaitable);
        asio::co_spawn(m_io, serve(std::move(accepted), to), asio::detached);
    }
}

asio::awaitable<void> narrow_links::serve(connection_pointer each, tcp::endpoint to)
{
    try {
        each->peer = each->near.remote_endpoint();
        each->listener = each->near.local_endpoint();
        each->process = ownerOf(*each);
        {
            std::lock_guard lock(m_mutex);
            ++m_links[each->process].connections;
        }
        std::erase_if(m_connections, [](const auto& known) { return known.expired(); });
        m_connections.push_back(each);
        each->far.open(tcp::v4());
        for (auto* socket : { &each->near, &each->far }) {
            socket->set_option(asio::socket_base::receive_buffer_size(socketBufferBytes));
            socket->set_option(asio::socket_base::send_buffer_size(socketBufferBytes));
            socket->set_option(tcp::no_delay(true));
        }
        co_await each->far.async_connect(to, asio::use_awaitable);
        asio::co_spawn(m_io, pump(each, each->near, each->far, &link::fromProcess), asio::detached);
        asio::co_spawn(m_io, pump(each, each->far, each->near, &link::toProcess), asio::detached);
    } catch (const boost::system::system_error&) {
        each->close();
    }
}

asio::awaitable<void> narrow_links::pump(
    connection_pointer each, tcp::socket& from, tcp::socket& to, lane link::*direction)
{
    std::array<char, chunkBytes> buffer {};
    asio::steady_timer timer(m_io);
    try {
        while (true) {
            auto bytes = co_await from.async_read_some(asio::buffer(buffer), asio::use_awaitable);
            timer.expires_at(reserve(each->process, direction, bytes));
            co_await timer.async_wait(asio::use_awaitable);
            while (isHeld(*each)) {
                timer.expires_after(holdInterval);
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await asio::async_write(to, asio::buffer(buffer.data(), bytes), asio::use_awaitable);
        }
    } catch (const boost::system::system_error&) {
        each->close();
    }
}

/// @return when the link has carried the bytes.
std::chrono::steady_clock::time_point narrow_links::reserve(
    int process, lane link::*direction, std::size_t bytes)
{
    std::lock_guard lock(m_mutex);
    auto& used = m_links[process].*direction;
    used.bytes += bytes;
    auto now = std::chrono::steady_clock::now();
    if (used.bytesPerSecond <= 0)
        return now;
    std::chrono::duration<double> time(static_cast<double>(bytes) / used.bytesPerSecond);
    used.freeAt
        = std::max(used.freeAt, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    return used.freeAt;
}

} // namespace plumfold::tests
