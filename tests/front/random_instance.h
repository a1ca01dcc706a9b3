#ifndef TESTS_FRONT_RANDOM_INSTANCE_H_
#define TESTS_FRONT_RANDOM_INSTANCE_H_

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/random.h"
#include "platform/http_client.h"

namespace peridotarch {

/// What the instances know of one request.
struct request_record {
  int received = 0;  ///< Times that it arrived whole.
  int runs = 0;      ///< Times that it was run.
  std::set<std::pair<int, std::string>> answers;  ///< Status and body.
};

using request_ledger = std::map<std::string, request_record>;

/// An instance whose answers, and the moments of their bytes, are drawn. It
/// acts only when it is called, between the turns of the event loop.
class random_instance {
 public:
  random_instance(boost::asio::io_context& context, request_ledger& ledger,
                  random_bits& random);
  ~random_instance();
  random_instance(const random_instance&) = delete;
  random_instance& operator=(const random_instance&) = delete;

  [[nodiscard]] uint16_t port() const;
  /// Reads what has arrived. A request that is whole is run or refused.
  void Receive();
  /// Sends or ends something on each connection. `whole` sends all bytes of
  /// answers at once.
  void Act(bool whole);

 private:
  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}

    boost::asio::ip::tcp::socket socket;
    std::string received;  ///< Not parsed yet.
    std::string to_send;
    std::string request_id;   ///< Waits for its answer; empty if there is none.
    bool refuses = false;     ///< The request was not run.
    bool ends_after = false;  ///< Closes when `to_send` has been sent.
  };

  static void Reset(connection& one);
  void Accept();
  void TakeRequest(connection& one);
  void BeginAnswer(connection& one);
  void SendSome(connection& one, size_t limit);
  std::string MakeAnswer(const std::string& id, int status,
                         const std::string& body, const std::string& headers);
  std::string MakeBody(const std::string& id);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  request_ledger& ledger_;
  random_bits& random_;
  std::list<connection> connections_;
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_RANDOM_INSTANCE_H_
