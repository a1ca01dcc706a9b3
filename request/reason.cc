#include "request/reason.h"

namespace peridotarch {

namespace {

constexpr size_t kReasonCount = names_of<reason>::kTable.size();

constexpr verdict kNotRun = verdict::kNotRun;
constexpr verdict kMayHaveRun = verdict::kMayHaveRun;
constexpr verdict kRan = verdict::kRan;

// Indexed by reason. A reply carries Retry-After if its cause passes by itself.
constexpr std::array<reply_rule, kReasonCount> kReplies = {{
    {0, kRan, false},           // answered
    {400, kNotRun, false},      // bad_request
    {413, kNotRun, false},      // too_large
    {431, kNotRun, false},      // headers_too_large
    {408, kNotRun, false},      // request_timeout
    {404, kNotRun, false},      // no_route
    {429, kNotRun, true},       // team_limit
    {503, kNotRun, true},       // queue_full
    {503, kNotRun, true},       // overloaded
    {503, kNotRun, true},       // no_capacity
    {504, kNotRun, true},       // deadline_expired
    {503, kNotRun, true},       // owner_unreachable
    {502, kMayHaveRun, false},  // owner_lost
    {503, kNotRun, true},       // upstream_refused
    {503, kNotRun, true},       // upstream_shed
    {502, kMayHaveRun, false},  // upstream_reset
    {502, kMayHaveRun, false},  // upstream_truncated
    {502, kMayHaveRun, false},  // upstream_malformed
    {504, kMayHaveRun, false},  // upstream_timeout
    {409, kMayHaveRun, true},   // key_running
    {409, kRan, false},         // key_already_ran
    {409, kMayHaveRun, false},  // key_outcome_unknown
    {409, kMayHaveRun, false},  // key_expired
    {400, kMayHaveRun, false},  // key_in_future
    {400, kNotRun, false},      // key_malformed
    {503, kNotRun, true},       // log_away
    {503, kNotRun, true},       // shutting_down
    {503, kNotRun, true},       // isolated
    {503, kNotRun, true},       // not_configured
    {500, kMayHaveRun, false},  // internal_error
    {503, kNotRun, true},       // internal_not_run
    {401, kNotRun, false},      // unknown_key
    {503, kNotRun, true},       // config_outdated
    {503, kNotRun, true},       // memory_short
}};

}  // namespace

// A key issued ahead of this node's clock may have been accepted by a node
// whose clock is ahead, so kKeyInFuture does not promise not_run.
reply_rule ReplyFor(reason why) { return kReplies[static_cast<size_t>(why)]; }

}  // namespace peridotarch
