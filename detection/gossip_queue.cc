#include "detection/gossip_queue.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// Bytes of updates in one message. With a probe and an answer in each
/// kProbeInterval this bounds the cost of gossip.
constexpr size_t kPiggybackBytes = 320;
constexpr size_t kNoteBytes = 12;
constexpr size_t kRecordBytes = 28;  ///< A record without its strings.
constexpr millis kLeavingMemory(600'000);

size_t SizeOf(const member_record& record) {
  return kRecordBytes + record.id.size() + record.address.size() +
         record.zone.size();
}

size_t SizeOf(const leaving_note& note) {
  return kNoteBytes + note.service.size() + note.instance.size();
}

// Calls `take` for items that were sent less than `limit` times, the least sent
// first, until one no longer fits; `take` returns the bytes used, or zero.
template <typename Map, typename Take>
void FillFrom(Map& items, int limit, size_t& budget, Take take) {
  std::vector<typename Map::iterator> order;
  for (auto it = items.begin(); it != items.end(); ++it) {
    if (it->second.times_sent < limit) {
      order.push_back(it);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](auto left, auto right) {
    return left->second.times_sent < right->second.times_sent;
  });
  for (auto it : order) {
    const size_t cost = take(*it, budget);
    if (cost == 0) {
      return;
    }
    budget -= cost;
    ++it->second.times_sent;
  }
}

template <typename Map>
void DropSpent(Map& items, int limit) {
  std::erase_if(items, [&](const auto& queued) {
    return queued.second.times_sent >= limit;
  });
}

}  // namespace

void gossip_queue::AddMember(const member_record& record) {
  members_[record.id] = {record, 0};
}

void gossip_queue::AddRevision(const revision_note& note) {
  revisions_[note.node] = {note, 0};
}

bool gossip_queue::AddLeaving(const leaving_note& note, millis now) {
  return leaving_.try_emplace(note, item<millis>{now, 0}).second;
}

// Leaving instances come first, because peers must learn of them within a
// bound.
void gossip_queue::Fill(gossip_message& message, int limit) {
  size_t budget = kPiggybackBytes;
  FillFrom(leaving_, limit, budget,
           [&](auto& queued, size_t bytes_left) -> size_t {
             const size_t size = SizeOf(queued.first);
             if (size > bytes_left) {
               return 0;
             }
             message.leaving.push_back(queued.first);
             return size;
           });
  FillFrom(members_, limit, budget,
           [&](auto& queued, size_t bytes_left) -> size_t {
             const size_t size = SizeOf(queued.second.value);
             if (size > bytes_left) {
               return 0;
             }
             message.members.push_back(queued.second.value);
             return size;
           });
  FillFrom(revisions_, limit, budget,
           [&](auto& queued, size_t bytes_left) -> size_t {
             if (kNoteBytes > bytes_left) {
               return 0;
             }
             message.revisions.push_back(queued.second.value);
             return kNoteBytes;
           });
  DropSpent(members_, limit);
  DropSpent(revisions_, limit);
}

void gossip_queue::Forget(millis now) {
  std::erase_if(leaving_, [&](const auto& queued) {
    return now - queued.second.value > kLeavingMemory;
  });
}

}  // namespace peridotarch
