#include "teams/config_freshness.h"

#include <algorithm>

namespace peridotarch {

namespace {

// For clocks that differ in speed, and for the time between the look at the
// clock and the decision.
constexpr millis kMargin(200);

}  // namespace

// Of versions that are not in force yet, the one asked for last is kept: it is
// the newest, and what proves it proves that the others are outdated.
void config_freshness::NoteProof(millis asked_at, config_version version,
                                 config_version own_version) {
  if (version > own_version) {
    if (!pending_ || asked_at > pending_->asked_at) {
      pending_ = proof{asked_at, version};
    }
    return;
  }
  proved_at_ = std::max(proved_at_.value_or(asked_at), asked_at);
}

void config_freshness::NoteVersion(config_version own_version) {
  if (pending_ && pending_->version <= own_version) {
    const proof counts = *pending_;
    pending_.reset();
    NoteProof(counts.asked_at, counts.version, own_version);
  }
}

bool config_freshness::IsFresh(millis now) const {
  return !max_age_ || (proved_at_ && now - *proved_at_ < *max_age_ - kMargin);
}

std::optional<millis> config_freshness::AgeAt(millis now) const {
  if (!proved_at_) {
    return std::nullopt;
  }
  return now - *proved_at_;
}

}  // namespace peridotarch
