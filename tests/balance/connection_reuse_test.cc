// Load pattern: many nodes with few requests each before a service with many
// instances, where a kept connection is rarely used again.
#include <catch2/catch.hpp>
#include <map>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kStart(10'000);
constexpr millis kMaxIdleTime(3'000);
constexpr millis kWork(200);

choice_request ReuseRequest() {
  choice_request request = MakeRequest("s");
  request.max_idle_time = kMaxIdleTime;
  return request;
}

/// Nodes that take turns to send a request, one every `kInterval` together.
class sparse_load {
 public:
  /// Returns how many of the requests found an idle connection.
  int Run(int requests) {
    fleet_.SetInstances(MakeEntries(kInstances, "s"), kStart);
    int reused = 0;
    millis now = kStart;
    for (int i = 0; i < requests; ++i) {
      now += kInterval;
      EndDue(now);
      const size_t node = static_cast<size_t>(i) % kNodes;
      const instance_choice choice = fleet_[node].Choose(ReuseRequest(), now);
      const auto kept = idle_since_.find({node, choice.key});
      if (kept != idle_since_.end() && now - kept->second <= kMaxIdleTime) {
        ++reused;
      }
      fleet_[node].Begin(choice.key);
      fleet_.Report(node, now);
      running_.push_back({node, choice.key, now + kWork});
    }
    return reused;
  }

 private:
  static constexpr size_t kNodes = 16;
  static constexpr int kInstances = 12;
  static constexpr millis kInterval = millis(40);

  struct running_request {
    size_t node = 0;
    instance_key key = 0;
    millis ends_at;
  };

  void EndDue(millis now) {
    while (!running_.empty() && running_.front().ends_at <= now) {
      const running_request ended = running_.front();
      running_.pop_front();
      fleet_[ended.node].End(ended.key, attempt_outcome::kOk, kWork, now);
      fleet_[ended.node].NoteIdleConnections(ended.key, 1, now);
      idle_since_[{ended.node, ended.key}] = now;
      fleet_.Report(ended.node, now);
    }
  }

  selector_fleet fleet_{kNodes};
  std::deque<running_request> running_;
  std::map<std::pair<size_t, instance_key>, millis> idle_since_;
};

TEST_CASE("connection reuse: a request goes where a connection is idle") {
  instance_selector selector("a", 7);
  selector.SetInstances(MakeEntries(12, "s"), kStart);
  // All instances have been used, or unused ones would go first.
  for (const instance_entry& entry : MakeEntries(12, "s")) {
    selector.Begin(KeyOf(entry.id));
    selector.End(KeyOf(entry.id), attempt_outcome::kOk, kWork, kStart);
  }
  const instance_key kept = KeyOf("s-4");
  selector.NoteIdleConnections(kept, 1, kStart);
  CHECK(selector.Choose(ReuseRequest(), kStart + millis(900)).key == kept);
  // One request at the instance is no reason for a new connection, two are.
  selector.Begin(kept);
  selector.NoteIdleConnections(kept, 1, kStart);
  CHECK(selector.Choose(ReuseRequest(), kStart + millis(900)).key == kept);
  selector.Begin(kept);
  selector.NoteIdleConnections(kept, 1, kStart);
  CHECK(selector.Choose(ReuseRequest(), kStart + millis(900)).key != kept);
}

TEST_CASE("connection reuse: an instance that is not used gets requests") {
  instance_selector selector("a", 7);
  selector.SetInstances(MakeEntries(6, "s"), kStart);
  std::map<instance_key, int> requests;
  millis now = kStart;
  for (int i = 0; i < 60; ++i) {
    const instance_choice choice = selector.Choose(ReuseRequest(), now);
    ++requests[choice.key];
    selector.Begin(choice.key);
    now += kWork;
    selector.End(choice.key, attempt_outcome::kOk, kWork, now);
    selector.NoteIdleConnections(choice.key, 1, now);
  }
  CHECK(requests.size() == 6);
}

// Each node sends a request every 640 ms to one of twelve instances, and a
// connection is kept for three seconds.
TEST_CASE("connection reuse: most requests of a sparse load find one") {
  CHECK(sparse_load().Run(800) > 600);
}

TEST_CASE("connection reuse: a connection that is idle for too long is left") {
  instance_selector selector("a", 7);
  selector.SetInstances(MakeEntries(2, "s"), kStart);
  selector.NoteIdleConnections(KeyOf("s-0"), 1, kStart);
  std::map<instance_key, int> chosen;
  for (int i = 0; i < 100; ++i) {
    ++chosen[selector.Choose(ReuseRequest(), kStart + kMaxIdleTime + millis(1))
                 .key];
  }
  CHECK(chosen.size() == 2);
}

}  // namespace
}  // namespace peridotarch
