#ifndef TESTS_FRONT_REQUEST_SCHEDULE_H_
#define TESTS_FRONT_REQUEST_SCHEDULE_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "front_world.h"
#include "random_instance.h"
#include "stopped_clock.h"

namespace peridotarch {

/// A few callers' requests at a node, while the order of all that happens
/// around them is drawn: turns of the event loop, times between them, bytes of
/// instances, and callers that leave.
class request_schedule {
 public:
  explicit request_schedule(uint64_t seed);

  /// Returns what is wrong, empty if nothing is.
  std::string Run();

 private:
  struct caller {
    explicit caller(boost::asio::io_context& context) : socket(context) {}

    boost::asio::ip::tcp::socket socket;
    std::string id;
    bool is_idempotent = false;
    bool has_sent = false;
    bool has_left = false;
    std::string received;
    bool closed = false;  ///< By the node.
  };

  void AddCallers();
  void Step();
  /// What is due, what the instances send and whether callers leave falls into
  /// one turn.
  void Coincide();
  void Turn(uint64_t handlers);
  void Advance(millis span);
  void Send(caller& one);
  void Leave(caller& one);
  static void Reset(caller& one);
  void ReceiveAnswers();
  /// Lets the deadlines pass until all is answered and closed.
  void Finish();
  [[nodiscard]] bool IsAnswered() const;
  [[nodiscard]] std::string CheckEnd();
  [[nodiscard]] std::string CheckAnswer(const caller& one);
  [[nodiscard]] std::string CheckOwnAnswer(const http_response& answer,
                                           const request_record& record) const;

  stopped_clock clock_;
  random_bits random_;
  boost::asio::io_context outside_;  ///< Of callers and instances; never run.
  request_ledger ledger_;
  front_world world_;
  std::vector<std::unique_ptr<random_instance>> instances_;
  std::vector<std::unique_ptr<caller>> callers_;
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_REQUEST_SCHEDULE_H_
