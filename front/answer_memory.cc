#include "front/answer_memory.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

// A usual answer is not dropped, however much memory the others take.
constexpr uint64_t kSmallBody = 64 << 10;

}  // namespace

void answer_memory::Resize(answer_reservation& body, uint64_t bytes) {
  in_use_ += bytes - body.bytes_;
  body.bytes_ = bytes;
  peak_before_drops_ = std::max(peak_before_drops_, in_use_);
  DropLargest();
  peak_ = std::max(peak_, in_use_);
}

void answer_memory::Remove(answer_reservation& body) {
  in_use_ -= body.bytes_;
  body.bytes_ = 0;
  std::erase(in_read_, &body);
}

// Bytes without end make a body the largest one before long, so that the
// answers of sound instances stay. A dropped body no longer counts, and is
// freed when its coroutine resumes, in the next turn of the event loop.
void answer_memory::DropLargest() {
  while (in_use_ > limit_) {
    const auto largest =
        std::max_element(in_read_.begin(), in_read_.end(),
                         [](const auto* left, const auto* right) {
                           return left->bytes_ < right->bytes_;
                         });
    if (largest == in_read_.end() || (*largest)->bytes_ <= kSmallBody) {
      return;
    }
    answer_reservation& body = **largest;
    Remove(body);
    body.is_dropped_ = true;
    body.drop_();
  }
}

answer_reservation::answer_reservation(std::shared_ptr<answer_memory> memory,
                                       std::function<void()> drop)
    : memory_(std::move(memory)), drop_(std::move(drop)) {
  memory_->in_read_.push_back(this);
}

answer_reservation::~answer_reservation() { memory_->Remove(*this); }

bool answer_reservation::Resize(uint64_t bytes) {
  if (!is_dropped_) {
    memory_->Resize(*this, bytes);
  }
  return !is_dropped_;
}

void answer_reservation::Complete() {
  std::erase(memory_->in_read_, this);
  drop_ = nullptr;
}

}  // namespace peridotarch
