#ifndef TESTS_CONFIG_FLEET_H_
#define TESTS_CONFIG_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/publisher.h"
#include "config/replica.h"
#include "core/random.h"
#include "tests/config/fake_log.h"

namespace peridotarch {

inline const std::string kTestKey = "the fleet key of the tests";

/// Returns a rules file with `lines` numbered rules; the comment of line
/// `changed` contains `tag`.
std::string TestRules(int lines, int changed, const std::string& tag);

/// The steps of the protocol at which a test can cause a fault.
enum class protocol_step {
  kPublishRead,
  kPublishAppend,
  kPublishLookup,
  kRenewAppend,
  kGossip,
  kFetch,
  kStartRead,
  kStartFetch,
  kFollowRead,
};

/// Simulates nodes, a log and operators in simulated time. Messages are
/// closures with a due time; faults decide whether and when they are delivered.
class fleet {
 public:
  static constexpr millis kTick{50};

  fleet(size_t nodes, uint64_t seed, bool use_peers = true,
        millis retention = millis(24 * 3'600'000));

  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Advances the simulated time by `span`.
  void Run(millis span);

  /// Runs until all nodes have the log's head in force; returns false if they
  /// do not within `limit`.
  bool Converge(millis limit);

  /// Starts an operator and returns its index, also into `results`.
  size_t Publish(const std::string& text, std::optional<uint64_t> base,
                 bool rebase = false);

  void Crash(size_t node);  ///< Replaces the node by one without state.
  void Pause(size_t node, millis span);
  void CutLink(size_t from, size_t to, bool cut) {
    cut_links_[{from, to}] = cut;
  }
  void CutLog(size_t node, bool cut) { cut_log_links_[node] = cut; }
  void HealNetwork();
  void PauseOperator(size_t index, millis span) {
    operators_[index].paused_until = now + span;
  }
  /// Ends the command of an operator without a result.
  void KillOperator(size_t index) { operators_[index].is_killed = true; }

  /// Returns the head of a reader that applies the whole log.
  [[nodiscard]] revision LogHead() const;
  [[nodiscard]] const revision& InForce(size_t node) const {
    return nodes_[node].replica->in_force();
  }
  [[nodiscard]] const replica& Node(size_t node) const {
    return *nodes_[node].replica;
  }
  [[nodiscard]] size_t size() const { return nodes_.size(); }
  [[nodiscard]] bool OperatorsDone() const;
  fake_log log;
  millis now{1'000'000};
  double loss = 0;            ///< Share of the messages between nodes.
  bool lose_answers = false;  ///< Appends succeed, but their answers are lost.
  bool duplicate = false;     ///< Every message and append arrives twice.
  bool reorder = false;       ///< Delays vary widely.
  std::vector<std::optional<publish_result>> results;
  /// Per node: when its revision last changed.
  std::vector<std::optional<millis>> in_force_at;
  /// Called before each step; may cause a fault.
  std::function<void(protocol_step, size_t node)> on_step;
  uint64_t appends = 0;

 private:
  struct node {
    std::unique_ptr<peridotarch::replica> replica;
    uint64_t incarnation = 0;
    millis paused_until;
    uint64_t highest_number = 0;
    bool started = false;
  };
  struct message {
    millis due;
    uint64_t order;
    std::optional<size_t> to;  // A paused receiver gets it after its pause.
    std::function<void()> deliver;
  };
  struct operator_run {
    std::unique_ptr<publisher> command;
    bool is_waiting = false;
    bool is_killed = false;
    millis paused_until;
  };

  void StartNode(size_t index);
  void RunActions(size_t index, const replica_actions& actions);
  void RunAction(size_t index, const read_log& action);
  void RunAction(size_t index, const fetch_from_peer& action);
  void RunAction(size_t index, const put_in_force& action);
  void RunAction(size_t index, const append_record& action);
  void RunAction(size_t index, const set_isolated& action);
  void FinishRead(size_t index, uint64_t from, bool wait, millis issued);
  void StepOperator(size_t index);
  void Gossip();
  void Send(std::optional<size_t> to, millis delay,
            std::function<void()> deliver);
  /// Delivers `event` to node `to` unless the node was restarted meanwhile.
  void SendTo(size_t to, std::function<replica_actions(replica&)> event);
  void DeliverDue();
  bool Reaches(size_t from, size_t to);
  bool LogReaches(size_t node) {
    return !log.is_unreachable && !cut_log_links_[node];
  }
  millis Delay();
  void ReachStep(protocol_step step, size_t node);
  int Copies() { return duplicate ? 2 : 1; }

  random_bits random_;
  const bool use_peers_;
  const millis retention_;
  std::vector<node> nodes_;
  std::vector<operator_run> operators_;
  std::vector<message> messages_;
  uint64_t sent_ = 0;
  std::map<std::pair<size_t, size_t>, bool> cut_links_;
  std::map<size_t, bool> cut_log_links_;
};

}  // namespace peridotarch

#endif  // TESTS_CONFIG_FLEET_H_
