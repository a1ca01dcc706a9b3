#ifndef DETECTION_LEDGER_H_
#define DETECTION_LEDGER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/hash.h"
#include "core/millis.h"
#include "core/names.h"
#include "detection/ejection_record.h"

namespace peridotarch {

/// What became of a record.
enum class apply_result {
  kAccepted,
  kOtherService,
  kMalformed,
  kNotNext,      ///< Its base is not the head: another came first.
  kDropsLease,   ///< It drops or changes a right that another still holds.
  kTooLong,      ///< A lease in it ends too late.
  kBreaksFloor,  ///< It would leave less capacity than the floor.
};

template <>
struct names_of<apply_result> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "accepted",    "other_service", "malformed",   "not_next",
      "drops_lease", "too_long",      "breaks_floor"};
};

/// Longest time that a lease or an allowance lasts after its record. It also
/// bounds how long an outage of the log leaves ejections in force.
inline constexpr millis kLeaseSpan(4 * 3'600'000);

/// A holder stops this long before its lease ends, for clocks that differ.
inline constexpr millis kClockMargin(60'000);

/// The chain of a service's ejection records, folded in log order. Every reader
/// of the same records comes to the same state.
class ledger {
 public:
  explicit ledger(std::string service) : service_(std::move(service)) {}

  /// Takes in one record of the stream; `appended_at` is the log's wall clock.
  apply_result Apply(std::string_view bytes, millis appended_at);

  /// Says whether `next` would be accepted after the head.
  [[nodiscard]] apply_result Judge(const ejection_record& next,
                                   millis appended_at) const;

  /// The latest record that counts, or nothing before the first.
  [[nodiscard]] const std::optional<ejection_record>& head() const {
    return head_;
  }
  [[nodiscard]] const digest& head_digest() const { return head_digest_; }

  /// Returns the head's encoded bytes, for a peer that lacks them.
  [[nodiscard]] const std::string& head_bytes() const { return head_bytes_; }

  /// The chain was seen from its first record or in two linked records, so
  /// that a new record may follow it.
  [[nodiscard]] bool anchored() const { return anchored_; }

  /// Returns a record that follows the head, with all rights of other processes
  /// that have not ended and none of `proposer`.
  [[nodiscard]] ejection_record MakeNext(const std::string& proposer,
                                         millis wall) const;

 private:
  [[nodiscard]] bool Follows(const ejection_record& next) const;

  std::string service_;
  std::optional<ejection_record> head_;
  std::string head_bytes_;
  digest head_digest_{};
  bool anchored_ = false;
};

/// Slots that the record keeps out or allows to be kept out at `wall`, counted
/// within its basis.
int ReservedSlots(const ejection_record& record, millis wall);

/// Slots of the record's basis.
int CapacitySlots(const ejection_record& record);

}  // namespace peridotarch

#endif  // DETECTION_LEDGER_H_
