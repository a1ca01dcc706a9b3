#include "memory/memory_budget.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

constexpr uint64_t kMegabyte = 1 << 20;
// Code, the store's records, connections and buffers of a running process.
constexpr uint64_t kProcessBytes = 32 * kMegabyte;
constexpr uint64_t kLeastTotal = 8 * kMegabyte;
// Of what is left to callers and instances, for bytes that arrive while others
// are read, and for those of refused requests.
constexpr uint64_t kUnreadPart = 8;
// A usual answer is not ended, however much memory the others take: its request
// has already run.
constexpr uint64_t kSmallAnswer = 64 << 10;
// The first read of a connection. Ending it would free nothing of note.
constexpr uint64_t kSmallRequest = 4 << 10;
// A holder without progress for this long is ended before the others. It is
// above the first retransmission time of a lost segment.
constexpr millis kStalledAfter(1'500);
// Fewer bytes are no progress, since a peer may send one byte at a time.
constexpr uint64_t kProgressBytes = 1 << 10;

uint64_t SmallBytes(memory_kind kind) {
  return kind == memory_kind::kAnswer ? kSmallAnswer : kSmallRequest;
}

}  // namespace

uint64_t UsualAnswerBytes(uint64_t memory_bytes) {
  constexpr uint64_t kPart = 8;
  constexpr uint64_t kLeast = 4 * kMegabyte;
  constexpr uint64_t kMost = 32 * kMegabyte;
  return std::clamp(memory_bytes / kPart, kLeast, kMost);
}

memory_limits LimitsFor(uint64_t memory_bytes, uint64_t answer_bytes) {
  const uint64_t left =
      memory_bytes > kProcessBytes ? memory_bytes - kProcessBytes : 0;
  const uint64_t total = std::max(left - left / kUnreadPart, kLeastTotal);
  return {total, std::min(total, answer_bytes)};
}

// An idle connection takes about 16 KB with its coroutines and its buffer.
size_t ConnectionsFor(const memory_limits& limits) {
  constexpr uint64_t kConnectionBytes = 32 << 10;
  return static_cast<size_t>(limits.total / kConnectionBytes);
}

void ReturnFreedMemory() {
  constexpr int kLongBytes = 128 << 10;
  ::mallopt(M_MMAP_THRESHOLD, kLongBytes);
}

// Instances, other nodes, the platform and files need descriptors too.
size_t ConnectionsForDescriptors(uint64_t most) {
  constexpr uint64_t kOfFiles = 200;
  rlimit allowed{};
  ::getrlimit(RLIMIT_NOFILE, &allowed);
  const uint64_t all = std::min<uint64_t>(allowed.rlim_cur, most);
  return static_cast<size_t>((all > kOfFiles ? all - kOfFiles : 0) / 2);
}

// One answer counts as at most half of the part, since the requests of a route
// whose answers fill it would otherwise wait for a moment without any other.
bool memory_budget::HasRoomForAnswer(uint64_t bytes) const {
  const std::lock_guard lock(mutex_);
  const uint64_t more = std::min(bytes, limits_.answers / 2) + expected_;
  return bytes <= kSmallAnswer ||
         (BytesOf(memory_kind::kAnswer) + more <= limits_.answers &&
          in_use_ + more <= limits_.total);
}

uint64_t memory_budget::in_use() const {
  const std::lock_guard lock(mutex_);
  return in_use_;
}

uint64_t memory_budget::in_use(memory_kind kind) const {
  const std::lock_guard lock(mutex_);
  return BytesOf(kind);
}

uint64_t memory_budget::peak() const {
  const std::lock_guard lock(mutex_);
  return peak_;
}

uint64_t memory_budget::peak_before_ends() const {
  const std::lock_guard lock(mutex_);
  return peak_before_ends_;
}

void memory_budget::SetBytes(memory_reservation& holder, uint64_t bytes) {
  expected_ -= holder.MissingBytes();
  in_use_ += bytes - holder.bytes_;
  by_kind_[static_cast<size_t>(holder.kind_)] += bytes - holder.bytes_;
  holder.bytes_ = bytes;
  expected_ += holder.MissingBytes();
}

void memory_budget::SetExpected(memory_reservation& holder, uint64_t bytes) {
  expected_ -= holder.MissingBytes();
  holder.expected_ = bytes;
  expected_ += holder.MissingBytes();
}

memory_budget::end_list memory_budget::Resize(memory_reservation& holder,
                                              uint64_t bytes, millis now) {
  end_list ends;
  const bool grows = bytes > holder.bytes_;
  SetBytes(holder, bytes);
  peak_before_ends_ = std::max(peak_before_ends_, in_use_);
  if (grows) {
    ends = MakeRoom(holder, now);
  }
  peak_ = std::max(peak_, in_use_);
  return ends;
}

// Bytes without end make a holder the largest one before long, so that the
// others stay. An ended holder no longer counts, and is freed when its
// coroutine resumes, in the next turn of the event loop.
memory_budget::end_list memory_budget::MakeRoom(memory_reservation& growing,
                                                millis now) {
  end_list ends;
  while (IsShort() && !growing.is_ended_) {
    memory_reservation* victim = FindVictim(now);
    if (victim == nullptr) {
      break;
    }
    End(*victim, ends);
  }
  // Complete holders and small ones fill the budget. A request has not run yet,
  // and its caller can return.
  if (in_use_ > limits_.total && growing.kind_ == memory_kind::kRequest &&
      growing.is_listed_) {
    End(growing, ends);
  }
  return ends;
}

memory_reservation* memory_budget::FindVictim(millis now) const {
  const bool only_answers = in_use_ <= limits_.total;
  memory_reservation* victim = nullptr;
  bool is_victim_stalled = false;
  for (memory_reservation* holder : incomplete_) {
    const bool is_stalled = now - holder->progress_at_ > kStalledAfter;
    if (holder->bytes_ <= SmallBytes(holder->kind_) ||
        (only_answers && holder->kind_ != memory_kind::kAnswer)) {
      continue;
    }
    if (victim == nullptr || is_stalled > is_victim_stalled ||
        (is_stalled == is_victim_stalled && holder->bytes_ > victim->bytes_)) {
      victim = holder;
      is_victim_stalled = is_stalled;
    }
  }
  return victim;
}

void memory_budget::End(memory_reservation& holder, end_list& ends) {
  SetExpected(holder, 0);
  SetBytes(holder, 0);
  RemoveIncomplete(holder);
  holder.is_ended_ = true;
  ends.push_back(std::exchange(holder.end_, nullptr));
}

void memory_budget::AddIncomplete(memory_reservation& holder) {
  holder.position_ = incomplete_.size();
  holder.is_listed_ = true;
  incomplete_.push_back(&holder);
}

// The last one takes the place of the one that is removed, since a linear
// search for each request would cost more than the rest of the accounting.
void memory_budget::RemoveIncomplete(memory_reservation& holder) {
  if (!std::exchange(holder.is_listed_, false)) {
    return;
  }
  incomplete_.back()->position_ = holder.position_;
  incomplete_[holder.position_] = incomplete_.back();
  incomplete_.pop_back();
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget,
                                       memory_kind kind,
                                       std::function<void()> end, millis now)
    : budget_(std::move(budget)),
      kind_(kind),
      end_(std::move(end)),
      progress_at_(now) {
  const std::lock_guard lock(budget_->mutex_);
  budget_->AddIncomplete(*this);
}

memory_reservation::~memory_reservation() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->SetExpected(*this, 0);
  budget_->SetBytes(*this, 0);
  budget_->RemoveIncomplete(*this);
}

uint64_t memory_reservation::bytes() const {
  const std::lock_guard lock(budget_->mutex_);
  return bytes_;
}

// What is called has reasons to destroy other holders, which take the lock.
bool memory_reservation::Resize(uint64_t bytes, millis now) {
  memory_budget::end_list ends;
  {
    const std::lock_guard lock(budget_->mutex_);
    if (!is_ended_) {
      ends = budget_->Resize(*this, bytes, now);
    }
  }
  for (const auto& end : ends) {
    end();
  }
  return !is_ended_;
}

void memory_reservation::Expect(uint64_t bytes) {
  const std::lock_guard lock(budget_->mutex_);
  budget_->SetExpected(*this, bytes);
}

void memory_reservation::NoteProgress(uint64_t bytes, millis now) {
  unmarked_bytes_ += bytes;
  if (unmarked_bytes_ >= kProgressBytes) {
    unmarked_bytes_ = 0;
    const std::lock_guard lock(budget_->mutex_);
    progress_at_ = now;
  }
}

bool memory_reservation::Complete() {
  std::function<void()> unused_end;
  const std::lock_guard lock(budget_->mutex_);
  budget_->SetExpected(*this, 0);
  budget_->RemoveIncomplete(*this);
  unused_end.swap(end_);
  return !is_ended_;
}

}  // namespace peridotarch
