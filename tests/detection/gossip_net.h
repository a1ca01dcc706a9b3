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

/// Nodes on a simulated network with delay, loss, duplicates and one-way cuts,
/// where nodes crash and pause.
class gossip_net {
 public:
  explicit gossip_net(uint64_t seed) : random_(seed) {}

  /// Starts a process with that number; a running one of that number ends.
  void Start(int number) {
    node& started = nodes_[number];
    started.is_paused = false;
    started.is_leaving = false;
    ++started.incarnation;
    member_record self;
    self.id = IdOf(number);
    self.incarnation = started.incarnation;
    self.address = AddressOf(number);
    self.port = kPort;
    self.zone = "zone-" + std::to_string(number % 4);
    started.view = std::make_unique<membership>(self, random_());
    started.is_running = true;
    Send(number, started.view->SetSeeds(seeds, now_));
  }

  void Crash(int number) { nodes_[number].is_running = false; }
  void Pause(int number, bool is_paused) {
    nodes_[number].is_paused = is_paused;
  }

  void Leave(int number) {
    Send(number, nodes_[number].view->Leave(now_));
    nodes_[number].is_leaving = true;
  }

  /// Gives all running nodes a platform list with the nodes of these numbers.
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
    for (auto& [number, current] : nodes_) {
      if (current.is_running) {
        Send(number, current.view->SetSeeds(seeds, now_));
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
      for (auto& [number, current] : nodes_) {
        if (current.is_running && !current.is_paused && !current.is_leaving &&
            (now_.count() + number) % kMembershipTick.count() == 0) {
          Send(number, current.view->Tick(now_));
        }
      }
      now_ += millis(1);
    }
  }

  membership& at(int number) { return *nodes_.at(number).view; }
  [[nodiscard]] millis now() const { return now_; }

  /// Returns whether every running node sees exactly the running nodes as
  /// alive.
  bool Converged() {
    std::set<std::string> running;
    for (const auto& [number, current] : nodes_) {
      if (current.is_running && !current.is_leaving) {
        running.insert(IdOf(number) + "/" +
                       std::to_string(current.incarnation));
      }
    }
    for (const auto& [number, current] : nodes_) {
      if (!current.is_running || current.is_leaving) {
        continue;
      }
      std::set<std::string> seen;
      for (const member& known : current.view->Members()) {
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

  /// Returns whether the node sees the other one as alive.
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
  /// Called with each sent message; returns the message that arrives.
  std::function<gossip_message(int from, const gossip_message&)> wire;

 private:
  static constexpr uint16_t kPort = 7001;

  struct node {
    std::unique_ptr<membership> view;
    uint64_t incarnation = 0;
    bool is_running = false;
    bool is_paused = false;
    bool is_leaving = false;
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

  void Send(int from, std::vector<outgoing_gossip> messages) {
    for (outgoing_gossip& sent : messages) {
      const int to = NumberOf(sent.address);
      gossip_message arriving =
          wire ? wire(from, sent.message) : std::move(sent.message);
      if (cuts_.contains({from, to}) || random_.Unit() < loss) {
        continue;
      }
      const int copies = random_.Unit() < duplicates ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const millis arrives_at =
            now_ + millis(1 + static_cast<int64_t>(random_.Below(3)));
        packets_.insert({arrives_at, packet{to, arriving}});
      }
    }
  }

  void Deliver() {
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      packet next = std::move(packets_.begin()->second);
      packets_.erase(packets_.begin());
      const auto it = nodes_.find(next.to);
      if (it == nodes_.end() || !it->second.is_running ||
          it->second.is_paused) {
        continue;
      }
      Send(next.to, it->second.view->OnMessage(next.message, now_));
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
