#ifndef TESTS_DETECTION_GOSSIP_NET_H_
#define TESTS_DETECTION_GOSSIP_NET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "detection/membership.h"

namespace peridotarch {

/// Memberships joined by a simulated network with delay, loss, duplicates,
/// one-way cuts, crashes and pauses.
class gossip_net {
 public:
  explicit gossip_net(uint64_t seed) : random_(seed) {}

  /// Starts a process with that number; a running one of the same number ends.
  void Start(int number) {
    node& started = nodes_[number];
    started.paused = false;
    started.leaving = false;
    ++started.incarnation;
    member_record self;
    self.id = IdOf(number);
    self.incarnation = started.incarnation;
    self.address = AddressOf(number);
    self.port = kPort;
    self.zone = "zone-" + std::to_string(number % 4);
    started.work = std::make_unique<membership>(self, random_());
    started.up = true;
    Send(number, started.work->SetSeeds(seeds, now_));
  }

  void Crash(int number) { nodes_[number].up = false; }
  void Pause(int number, bool paused) { nodes_[number].paused = paused; }

  void Leave(int number) {
    Send(number, nodes_[number].work->Leave(now_));
    nodes_[number].leaving = true;
  }

  /// Gives each running node the platform's list of these numbers.
  void List(const std::vector<int>& numbers) {
    seeds.clear();
    for (const int number : numbers) {
      host entry;
      entry.service = std::string(kFleetService);
      entry.id = IdOf(number);
      entry.address = AddressOf(number);
      entry.port = kPort;
      seeds.push_back(entry);
    }
    for (auto& [number, each] : nodes_) {
      if (each.up) {
        Send(number, each.work->SetSeeds(seeds, now_));
      }
    }
  }

  /// Drops what `from` sends to `to`.
  void Cut(int from, int to) { cuts_.insert({from, to}); }
  void HealAll() {
    cuts_.clear();
    loss = 0;
    duplicates = 0;
  }

  void Run(millis span) {
    const millis end = now_ + span;
    while (now_ < end) {
      Deliver();
      for (auto& [number, each] : nodes_) {
        if (each.up && !each.paused && !each.leaving &&
            (now_.count() + number) % kMembershipTick.count() == 0) {
          Send(number, each.work->Tick(now_));
        }
      }
      now_ += millis(1);
    }
  }

  membership& at(int number) { return *nodes_.at(number).work; }
  [[nodiscard]] millis now() const { return now_; }

  /// Says whether every running node sees exactly the running nodes as alive.
  bool Converged() {
    std::set<std::string> running;
    for (const auto& [number, each] : nodes_) {
      if (each.up && !each.leaving) {
        running.insert(IdOf(number) + "/" + std::to_string(each.incarnation));
      }
    }
    for (const auto& [number, each] : nodes_) {
      if (!each.up || each.leaving) {
        continue;
      }
      std::set<std::string> seen;
      for (const member& known : each.work->Members()) {
        if (known.record.state == member_state::kAlive) {
          seen.insert(known.record.id + "/" +
                      std::to_string(known.record.incarnation));
        }
      }
      if (seen != running) {
        return false;
      }
    }
    return true;
  }

  /// Says whether the node sees the other as a member that is alive.
  bool Sees(int number, int other) {
    for (const member& known : at(number).Members()) {
      if (known.record.id == IdOf(other)) {
        return known.record.state == member_state::kAlive;
      }
    }
    return false;
  }

  static std::string IdOf(int number) {
    return "entry-" + std::to_string(number);
  }
  static std::string AddressOf(int number) {
    return "10.0." + std::to_string(number / 250) + "." +
           std::to_string(number % 250);
  }

  std::vector<host> seeds;
  double loss = 0;
  double duplicates = 0;
  /// Called with each message that is sent; the copy that arrives is its
  /// result.
  std::function<gossip_message(int from, const gossip_message&)> wire;

 private:
  static constexpr uint16_t kPort = 7001;

  struct node {
    std::unique_ptr<membership> work;
    uint64_t incarnation = 0;
    bool up = false;
    bool paused = false;
    bool leaving = false;
  };
  struct packet {
    int to = 0;
    gossip_message message;
  };

  static int NumberOf(const std::string& address) {
    const size_t last = address.rfind('.');
    const size_t middle = address.rfind('.', last - 1);
    return std::stoi(address.substr(middle + 1, last - middle - 1)) * 250 +
           std::stoi(address.substr(last + 1));
  }

  void Send(int from, std::vector<outgoing_gossip> actions) {
    for (outgoing_gossip& each : actions) {
      const int to = NumberOf(each.address);
      gossip_message arriving =
          wire ? wire(from, each.message) : std::move(each.message);
      if (cuts_.contains({from, to}) || random_.Unit() < loss) {
        continue;
      }
      const int copies = random_.Unit() < duplicates ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const millis at =
            now_ + millis(1 + static_cast<int64_t>(random_.Below(3)));
        packets_.insert({at, packet{to, arriving}});
      }
    }
  }

  void Deliver() {
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      packet next = std::move(packets_.begin()->second);
      packets_.erase(packets_.begin());
      const auto it = nodes_.find(next.to);
      if (it == nodes_.end() || !it->second.up || it->second.paused) {
        continue;
      }
      Send(next.to, it->second.work->OnMessage(next.message, now_));
    }
  }

  random_bits random_;
  millis now_{1'000};
  std::map<int, node> nodes_;
  std::set<std::pair<int, int>> cuts_;
  std::multimap<millis, packet> packets_;
};

}  // namespace peridotarch

#endif  // TESTS_DETECTION_GOSSIP_NET_H_
