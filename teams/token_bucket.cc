#include "teams/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridotarch {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr millis kLongest(60'000);

}  // namespace

double token_bucket::TokensAt(millis now) const {
  const double elapsed =
      static_cast<double>(std::max<int64_t>(0, (now - filled_at_).count()));
  return std::min(capacity_, tokens_ + rate_ * elapsed / kMillisPerSecond);
}

// Tokens above a lower capacity are lost; credit that is owed stays owed.
void token_bucket::SetLimit(double rate, double capacity, millis now) {
  tokens_ = std::min(TokensAt(now), capacity);
  filled_at_ = now;
  rate_ = rate;
  capacity_ = capacity;
}

bool token_bucket::Take(double credit, millis now) {
  const double left = TokensAt(now) - 1;
  if (left < -credit) {
    return false;
  }
  tokens_ = left;
  filled_at_ = now;
  return true;
}

// A share of the limit below one request keeps less than a token. What is given
// back may then repay credit, but is not kept beyond the capacity.
void token_bucket::GiveBack(millis now) {
  tokens_ = std::min(std::max(capacity_, 0.0), TokensAt(now) + 1);
  filled_at_ = now;
}

millis token_bucket::TimeToToken(millis now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) {
    return millis(0);
  }
  if (rate_ <= 0) {
    return kLongest;
  }
  const double wait = std::ceil(missing / rate_ * kMillisPerSecond);
  return millis(static_cast<int64_t>(
      std::min(wait, static_cast<double>(kLongest.count()))));
}

}  // namespace peridotarch
