#ifndef TESTS_FRONT_SCRIPTED_INSTANCE_H_
#define TESTS_FRONT_SCRIPTED_INSTANCE_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "front_world.h"
#include "platform/to_chrono.h"

namespace peridotarch {

/// What an instance does with the connection after its bytes.
enum class connection_end { kKept, kClosed, kReset };

/// Bytes that an instance sends after a pause.
struct answer_part {
  std::string bytes;
  millis pause = millis(0);
};

/// All that an instance sends upon one request.
struct scripted_answer {
  std::vector<answer_part> parts;
  connection_end end = connection_end::kKept;
};

/// An instance on loopback that reads whole requests and answers each with the
/// parts that a function returns.
class scripted_instance {
 public:
  using script = std::function<scripted_answer(const http_request&)>;

  scripted_instance(front_world& world, script answer,
                    const std::string& id = "scripted", int slots = 3)
      : answer_(std::move(answer)),
        acceptor_(world.context,
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    boost::asio::co_spawn(world.context, Accept(), boost::asio::detached);
    world.AddEntry(
        world.MakeEntry(id, acceptor_.local_endpoint().port(), slots));
  }

  int served = 0;
  int connections = 0;

 private:
  using tcp = boost::asio::ip::tcp;

  awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      ++connections;
      socket.set_option(tcp::no_delay(true));
      boost::asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  awaitable<void> Serve(tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code failure;
    connection_end end = connection_end::kKept;
    while (!failure && end == connection_end::kKept) {
      http_request request;
      co_await boost::beast::http::async_read(
          socket, buffer, request,
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      ++served;
      const scripted_answer answer = answer_(request);
      end = answer.end;
      for (const answer_part& part : answer.parts) {
        if (part.pause > millis(0)) {
          co_await Sleep(socket.get_executor(), part.pause);
        }
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(part.bytes),
            boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      }
    }
    if (end == connection_end::kReset) {
      // With a zero linger time, closing sends a reset.
      socket.set_option(tcp::socket::linger(true, 0), failure);
    }
    socket.close(failure);
  }

  const script answer_;
  tcp::acceptor acceptor_;
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_SCRIPTED_INSTANCE_H_
