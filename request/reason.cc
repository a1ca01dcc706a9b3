#include "request/reason.h"

namespace peridotarch {

namespace {

constexpr size_t kReasonCount = names_of<reason>::kTable.size();

constexpr verdict kNot = verdict::kNotRun;
constexpr verdict kMay = verdict::kMayHaveRun;
constexpr verdict kRan = verdict::kRan;

// Indexed by reason. Retry-After goes with what passes by itself.
constexpr std::array<reply_rule, kReasonCount> kReplies = {{
    {0, kRan, false},    // answered
    {400, kNot, false},  // bad_request
    {413, kNot, false},  // too_large
    {431, kNot, false},  // headers_too_large
    {408, kNot, false},  // request_timeout
    {404, kNot, false},  // no_route
    {429, kNot, true},   // team_limit
    {503, kNot, true},   // queue_full
    {503, kNot, true},   // overloaded
    {503, kNot, true},   // no_capacity
    {504, kNot, true},   // deadline_expired
    {503, kNot, true},   // owner_unreachable
    {502, kMay, false},  // owner_lost
    {503, kNot, true},   // upstream_refused
    {503, kNot, true},   // upstream_shed
    {502, kMay, false},  // upstream_reset
    {502, kMay, false},  // upstream_truncated
    {502, kMay, false},  // upstream_malformed
    {504, kMay, false},  // upstream_timeout
    {409, kMay, true},   // key_running
    {409, kRan, false},  // key_already_ran
    {409, kMay, false},  // key_outcome_unknown
    {409, kMay, false},  // key_expired
    {400, kMay, false},  // key_in_future
    {400, kNot, false},  // key_malformed
    {503, kNot, true},   // log_away
    {503, kNot, true},   // shutting_down
    {503, kNot, true},   // isolated
    {503, kNot, true},   // not_configured
}};

}  // namespace

// A key that lies ahead of this node's clock may have been accepted by a node
// whose clock is ahead, so it is not said to be not_run.
reply_rule ReplyFor(reason why) { return kReplies[static_cast<size_t>(why)]; }

}  // namespace peridotarch
