#ifndef CONFIG_ROUTE_TABLE_H_
#define CONFIG_ROUTE_TABLE_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "config/rules.h"

namespace peridotarch {

/// Finds the route of a request. Segment by segment, a literal goes before `*`
/// and `*` before `**`; on the same pattern a method goes before `*`.
class route_table {
 public:
  route_table() = default;

  /// Refers to `routes`, which must outlive the table and not move.
  explicit route_table(std::span<const route_rule> routes);

  /// Returns the route of a request, or nullptr. `target` may have a query,
  /// which is ignored.
  [[nodiscard]] const route_rule* Match(std::string_view method,
                                        std::string_view target) const;

 private:
  static constexpr uint32_t kNone = UINT32_MAX;

  struct node {
    std::vector<std::pair<std::string_view, uint32_t>> literals;  // sorted
    uint32_t any = kNone;                     // child for `*`
    std::vector<const route_rule*> here;      // patterns that end here
    std::vector<const route_rule*> any_rest;  // patterns that end in `**` here
  };

  void Add(const route_rule& rule);
  uint32_t Child(uint32_t from, std::string_view segment);
  uint32_t NewNode();
  [[nodiscard]] uint32_t Literal(const node& from,
                                 std::string_view segment) const;
  [[nodiscard]] const route_rule* Find(uint32_t from, std::string_view method,
                                       std::string_view path) const;

  std::vector<node> nodes_;
};

}  // namespace peridotarch

#endif  // CONFIG_ROUTE_TABLE_H_
