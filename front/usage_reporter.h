#ifndef FRONT_USAGE_REPORTER_H_
#define FRONT_USAGE_REPORTER_H_

#include <memory>
#include <string>
#include <string_view>

#include "front/front_node.h"
#include "platform/awaitable.h"

namespace peridotarch {

/// Tells the other nodes how much of the teams' limits this node, and its zone,
/// uses, and takes their reports.
class usage_reporter : public std::enable_shared_from_this<usage_reporter> {
 public:
  explicit usage_reporter(std::shared_ptr<front_node> node)
      : node_(std::move(node)) {}

  void Start();

 private:
  awaitable<void> Report();
  void Tick();
  void SendReports(bool to_other_zones);
  void HandleReport(const std::string& sender, std::string_view payload);
  void LogChanges();

  const std::shared_ptr<front_node> node_;
  int ticks_ = 0;
};

}  // namespace peridotarch

#endif  // FRONT_USAGE_REPORTER_H_
