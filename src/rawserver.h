#pragma once

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace Cyclamen
{

/// A server on loopback for tests that answers one request with given bytes, valid or not, and ends the connection.
class RawServer
{
public:
    /// How the connection ends. A close with bytes unread is a reset too.
    enum class End { Close, Reset };

    explicit RawServer(std::string answer, End end = End::Close)
        : acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , thread([this, answer = std::move(answer), end] { this->serve(answer, end); })
    {
    }
    ~RawServer()
    {
        // Ends an accept that still waits.
        boost::asio::ip::tcp::socket socket(this->context);
        boost::system::error_code error;
        socket.connect(this->acceptor.local_endpoint(), error);
        this->thread.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void serve(const std::string &answer, End end)
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(answer), error);
        if (end == End::Reset) {
            socket.set_option(boost::asio::ip::tcp::socket::linger(true, 0), error);
        }
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

}
