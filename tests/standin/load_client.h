#ifndef STANDIN_LOAD_CLIENT_H_
#define STANDIN_LOAD_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/asio.h"
#include "standin/load_record.h"

namespace peridotarch::standin {

/// An HTTP/1.1 client with kept connections to several targets. Runs on one
/// thread.
class load_client {
 public:
  load_client(asio::io_context& context, millis timeout)
      : context_(context), timeout_(timeout) {}

  /// Replaces the targets, each ADDRESS:PORT.
  void SetTargets(std::vector<std::string> targets);

  [[nodiscard]] size_t targets() const { return targets_.size(); }

  /// Sends `message` to the target with this number, or to the next that
  /// accepts a connection, and reads the answer. Sets the result to kWhole for
  /// any whole answer, and all fields that tell of the wire.
  asio::awaitable<response> Send(request message, size_t target,
                                 load_record& record);

 private:
  using stream_ptr = std::unique_ptr<beast::tcp_stream>;

  asio::awaitable<stream_ptr> Connect(size_t target, load_record& record);
  asio::awaitable<response> Exchange(stream_ptr& stream, request& message,
                                     load_record& record);

  asio::io_context& context_;
  const millis timeout_;
  std::vector<std::string> targets_;
  std::map<std::string, std::vector<stream_ptr>> idle_;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_LOAD_CLIENT_H_
