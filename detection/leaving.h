#ifndef DETECTION_LEAVING_H_
#define DETECTION_LEAVING_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/millis.h"

namespace peridotarch {

/// Which instances of a service are leaving. Sticky for an incarnation: a list
/// that goes back does not bring it back.
class leaving_set {
 public:
  /// Notes that this incarnation leaves; returns true when it is news.
  bool Note(const std::string& instance, uint64_t incarnation, millis now);

  [[nodiscard]] bool Contains(const std::string& instance,
                              uint64_t incarnation) const;

  /// Forgets what was noted long ago.
  void Forget(millis now);

 private:
  struct noted {
    uint64_t incarnation = 0;  ///< The highest that is known to leave.
    millis at;
  };

  std::map<std::string, noted> noted_;
};

}  // namespace peridotarch

#endif  // DETECTION_LEAVING_H_
