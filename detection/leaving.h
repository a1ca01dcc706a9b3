#ifndef DETECTION_LEAVING_H_
#define DETECTION_LEAVING_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/millis.h"

namespace peridotarch {

/// The instances of a service that are leaving. An incarnation that was noted
/// stays leaving, even if an outdated list shows it as live.
class leaving_set {
 public:
  /// Notes that this incarnation is leaving; returns true if that is new.
  bool Note(const std::string& instance, uint64_t incarnation, millis now);

  [[nodiscard]] bool Contains(const std::string& instance,
                              uint64_t incarnation) const;

  /// Forgets instances that were last noted long ago.
  void Forget(millis now);

 private:
  struct noted {
    uint64_t incarnation = 0;  ///< The highest one known to be leaving.
    millis noted_at;
  };

  std::map<std::string, noted> noted_;
};

}  // namespace peridotarch

#endif  // DETECTION_LEAVING_H_
