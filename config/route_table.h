#ifndef CONFIG_ROUTE_TABLE_H_
#define CONFIG_ROUTE_TABLE_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "config/rules.h"

namespace peridotarch {

/// Finds the route of a request. The most specific pattern wins: in each
/// segment a literal has precedence over `*` and `*` over `**`. For the same
/// pattern, a named method has precedence over `*`.
class route_table {
 public:
  route_table() = default;

  /// Keeps pointers into `routes`, which must outlive the table and not move.
  explicit route_table(std::span<const route_rule> routes);

  /// Returns the route of a request, or nullptr. Ignores a query in `target`.
  [[nodiscard]] const route_rule* Match(std::string_view method,
                                        std::string_view target) const;

 private:
  static constexpr uint32_t kNone = UINT32_MAX;

  struct node {
    // Sorted by segment.
    std::vector<std::pair<std::string_view, uint32_t>> literal_children;
    uint32_t star_child = kNone;
    // Patterns that end here, and patterns whose final `**` stands here.
    std::vector<const route_rule*> end_rules;
    std::vector<const route_rule*> rest_rules;
  };

  void Add(const route_rule& rule);
  uint32_t ChildFor(uint32_t from, std::string_view segment);
  uint32_t NewNode();
  [[nodiscard]] uint32_t FindLiteral(const node& from,
                                     std::string_view segment) const;
  [[nodiscard]] const route_rule* Find(uint32_t from, std::string_view method,
                                       std::string_view path) const;

  std::vector<node> nodes_;
};

}  // namespace peridotarch

#endif  // CONFIG_ROUTE_TABLE_H_
