#include "detection/gossip_queue.h"

#include <algorithm>

namespace peridotarch {

namespace {

/// What a probe carries besides its header, in bytes; with a probe and an
/// answer each kProbeInterval it bounds the cost of gossip.
constexpr size_t kPiggybackBytes = 320;
constexpr size_t kNoteBytes = 12;
constexpr size_t kRecordBytes = 28;  ///< A record without its texts.
constexpr millis kLeavingKept(600'000);

size_t SizeOf(const member_record& record) {
  return kRecordBytes + record.id.size() + record.address.size() +
         record.zone.size();
}

size_t SizeOf(const leaving_note& note) {
  return kNoteBytes + note.service.size() + note.instance.size();
}

// Takes items in rising order of how often they were sent until the budget is
// spent.
template <typename Map, typename Take>
void FillFrom(Map& items, int limit, size_t& budget, Take take) {
  std::vector<typename Map::iterator> order;
  for (auto it = items.begin(); it != items.end(); ++it) {
    if (it->second.sent < limit) {
      order.push_back(it);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](auto left, auto right) {
    return left->second.sent < right->second.sent;
  });
  for (auto it : order) {
    const size_t cost = take(*it, budget);
    if (cost == 0) {
      return;
    }
    budget -= cost;
    ++it->second.sent;
  }
}

template <typename Map>
void DropSpent(Map& items, int limit) {
  std::erase_if(items,
                [&](const auto& each) { return each.second.sent >= limit; });
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

// Instances that leave come first: their news has a deadline.
void gossip_queue::Fill(gossip_message& message, int limit) {
  size_t budget = kPiggybackBytes;
  FillFrom(leaving_, limit, budget, [&](auto& each, size_t left) -> size_t {
    const size_t size = SizeOf(each.first);
    if (size > left) {
      return 0;
    }
    message.leaving.push_back(each.first);
    return size;
  });
  FillFrom(members_, limit, budget, [&](auto& each, size_t left) -> size_t {
    const size_t size = SizeOf(each.second.value);
    if (size > left) {
      return 0;
    }
    message.members.push_back(each.second.value);
    return size;
  });
  FillFrom(revisions_, limit, budget, [&](auto& each, size_t left) -> size_t {
    if (kNoteBytes > left) {
      return 0;
    }
    message.revisions.push_back(each.second.value);
    return kNoteBytes;
  });
  DropSpent(members_, limit);
  DropSpent(revisions_, limit);
}

void gossip_queue::Forget(millis now) {
  std::erase_if(leaving_, [&](const auto& each) {
    return now - each.second.value > kLeavingKept;
  });
}

}  // namespace peridotarch
