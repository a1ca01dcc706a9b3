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

/// Result of applying a record.
enum class apply_result {
  kAccepted,
  kOtherService,
  kMalformed,
  kNotNext,     ///< Its base is not the head; another record came first.
  kDropsLease,  ///< It drops or alters a lease or allowance of another process.
  kTooLong,     ///< One of its leases or allowances ends too late.
  kBreaksFloor,  ///< It would leave less capacity than the floor.
};

template <>
struct names_of<apply_result> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "accepted",    "other_service", "malformed",   "not_next",
      "drops_lease", "too_long",      "breaks_floor"};
};

/// Longest time that a lease or an allowance lasts after its record. It also
/// bounds how long ejections stay in force during an outage of the log.
inline constexpr millis kLeaseSpan(4 * 3'600'000);

/// A holder stops using a lease this long before its end, to allow for clock
/// skew.
inline constexpr millis kClockMargin(60'000);

/// The chain of a service's ejection records, applied in log order. Every
/// reader of the same records comes to the same state.
class ledger {
 public:
  explicit ledger(std::string service) : service_(std::move(service)) {}

  /// Applies a record of the stream; `appended_at` is the log's wall clock.
  apply_result Apply(std::string_view bytes, millis appended_at);

  /// Returns what applying `next` after the head would result in.
  [[nodiscard]] apply_result Validate(const ejection_record& next,
                                      millis appended_at) const;

  /// Returns the latest accepted record, or nothing before the first.
  [[nodiscard]] const std::optional<ejection_record>& head() const {
    return head_;
  }
  [[nodiscard]] const digest& head_digest() const { return head_digest_; }

  /// Returns the head's encoded bytes, for a peer that lacks them.
  [[nodiscard]] const std::string& head_bytes() const { return head_bytes_; }

  /// Tells whether the chain is known from its first record or by two linked
  /// records, so that a new record may follow it.
  [[nodiscard]] bool is_anchored() const { return is_anchored_; }

  /// Returns a record that follows the head. It keeps the leases and allowances
  /// of other processes that have not ended, and omits those of `proposer`.
  [[nodiscard]] ejection_record MakeNext(const std::string& proposer,
                                         millis wall) const;

 private:
  [[nodiscard]] bool Follows(const ejection_record& next) const;

  std::string service_;
  std::optional<ejection_record> head_;
  std::string head_bytes_;
  digest head_digest_{};
  bool is_anchored_ = false;
};

/// Returns the slots that the record's leases and allowances reserve at `wall`.
/// Leases count only for its capacity_instances.
int ReservedSlots(const ejection_record& record, millis wall);

/// Returns the slots of the record's capacity_instances.
int CapacitySlots(const ejection_record& record);

}  // namespace peridotarch

#endif  // DETECTION_LEDGER_H_
