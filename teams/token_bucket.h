#ifndef TEAMS_TOKEN_BUCKET_H_
#define TEAMS_TOKEN_BUCKET_H_

#include "core/millis.h"

namespace peridotarch {

/// One node's share of a team's limit. Requests may be taken on credit, which
/// is repaid from later tokens.
class token_bucket {
 public:
  /// Starts empty.
  explicit token_bucket(millis now) : filled_at_(now) {}

  /// Sets the rate in tokens a second and the most tokens that are kept.
  void SetLimit(double rate, double capacity, millis now);
  /// Fills the bucket to its capacity.
  void Fill() { tokens_ = capacity_; }
  /// Takes a token if that leaves at least `-credit`.
  bool Take(double credit, millis now);
  /// Gives a token back.
  void GiveBack(millis now);

  /// Returns the tokens left, below zero while credit is owed.
  [[nodiscard]] double TokensAt(millis now) const;
  /// Returns the time until a token can be taken without credit.
  [[nodiscard]] millis TimeToToken(millis now) const;

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;  ///< At `filled_at_`.
  millis filled_at_;
};

}  // namespace peridotarch

#endif  // TEAMS_TOKEN_BUCKET_H_
