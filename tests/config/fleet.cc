#include "tests/config/fleet.h"

#include <algorithm>
#include <utility>

#include "core/invariant.h"

namespace peridotarch {

namespace {

constexpr millis kGossipInterval{200};
constexpr size_t kGossipFanout = 2;
constexpr millis kCallTimeout{500};

}  // namespace

std::string TestRules(int lines, int changed, const std::string& tag) {
  std::string text;
  for (int i = 0; i < lines; ++i) {
    text += "limit team t" + std::to_string(i) + " rate 5/s burst 9  # team" +
            (i == changed ? " " + tag : "") + "\n";
  }
  return text;
}

fleet::fleet(size_t nodes, uint64_t seed, bool use_peers, millis log_retention)
    : in_force_at(nodes),
      random_(seed),
      use_peers_(use_peers),
      retention_(log_retention),
      nodes_(nodes) {
  for (size_t i = 0; i < nodes; ++i) {
    StartNode(i);
  }
}

void fleet::StartNode(size_t index) {
  replica_settings settings;
  settings.fleet_key = kTestKey;
  settings.seed = random_();
  settings.use_peers = use_peers_;
  settings.log_retention = retention_;
  node& n = nodes_[index];
  n.replica = std::make_unique<replica>(settings);
  ++n.incarnation;
  n.highest_number = 0;
  n.paused_until = millis();
}

void fleet::Crash(size_t node) { StartNode(node); }

void fleet::Pause(size_t node, millis span) {
  nodes_[node].paused_until = now + span;
}

void fleet::HealNetwork() {
  cut_links_.clear();
  cut_log_links_.clear();
  loss = 0;
  lose_answers = duplicate = reorder = false;
  log.is_unreachable = false;
  log.stale_by = 0;
  for (node& n : nodes_) {
    n.paused_until = millis();
  }
}

void fleet::Run(millis span) {
  const millis end = now + span;
  while (now < end) {
    now += kTick;
    DeliverDue();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].paused_until <= now) {
        RunActions(i, nodes_[i].replica->Tick(now));
      }
    }
    for (size_t i = 0; i < operators_.size(); ++i) {
      StepOperator(i);
    }
    if (now.count() % kGossipInterval.count() == 0) {
      Gossip();
    }
  }
}

bool fleet::Converge(millis limit) {
  const millis end = now + limit;
  while (now < end) {
    Run(millis(500));
    const revision_id head = LogHead().id;
    if (OperatorsDone() && std::ranges::all_of(nodes_, [&](const node& n) {
          return n.replica->in_force().id == head;
        })) {
      return true;
    }
  }
  return false;
}

bool fleet::OperatorsDone() const {
  for (size_t i = 0; i < operators_.size(); ++i) {
    if (!operators_[i].is_killed && !results[i]) {
      return false;
    }
  }
  return true;
}

void fleet::DeliverDue() {
  std::ranges::sort(messages_, {},
                    [](const message& m) { return std::pair(m.due, m.order); });
  std::vector<message> due;
  std::erase_if(messages_, [&](message& m) {
    const bool awake = !m.to || nodes_[*m.to].paused_until <= now;
    if (m.due > now || !awake) {
      return false;
    }
    due.push_back(std::move(m));
    return true;
  });
  for (const message& m : due) {
    m.deliver();
  }
}

millis fleet::Delay() {
  const uint64_t spread = reorder ? 2000 : 60;
  return millis(static_cast<int64_t>(random_.Below(spread)));
}

void fleet::Send(std::optional<size_t> to, millis delay,
                 std::function<void()> deliver) {
  messages_.push_back({now + delay, sent_++, to, std::move(deliver)});
}

void fleet::SendTo(size_t to, std::function<replica_actions(replica&)> event) {
  const uint64_t incarnation = nodes_[to].incarnation;
  for (int i = 0; i < Copies(); ++i) {
    Send(to, Delay(), [this, to, incarnation, event] {
      if (nodes_[to].incarnation == incarnation) {
        RunActions(to, event(*nodes_[to].replica));
      }
    });
  }
}

bool fleet::Reaches(size_t from, size_t to) {
  return !cut_links_[{from, to}] && random_.Unit() >= loss;
}

void fleet::ReachStep(protocol_step step, size_t node) {
  if (on_step) {
    on_step(step, node);
  }
}

void fleet::RunActions(size_t index, const replica_actions& actions) {
  const uint64_t incarnation = nodes_[index].incarnation;
  for (const replica_action& action : actions) {
    if (nodes_[index].incarnation != incarnation) {
      return;  // The previous action triggered a crash.
    }
    std::visit([&](const auto& one) { RunAction(index, one); }, action);
  }
}

void fleet::RunAction(size_t index, const read_log& action) {
  const uint64_t incarnation = nodes_[index].incarnation;
  const bool starting = InForce(index).id.number == 0;
  ReachStep(starting ? protocol_step::kStartRead : protocol_step::kFollowRead,
            index);
  if (nodes_[index].incarnation == incarnation) {
    FinishRead(index, action.from, action.wait, now);
  }
}

void fleet::FinishRead(size_t index, uint64_t from, bool wait, millis issued) {
  const uint64_t incarnation = nodes_[index].incarnation;
  if (!LogReaches(index)) {
    Send(index, kCallTimeout, [this, index, incarnation] {
      if (nodes_[index].incarnation == incarnation) {
        RunActions(index, nodes_[index].replica->OnLogError(now));
      }
    });
    return;
  }
  log_page page = log.Read(from);
  if (wait && page.records.empty() && page.next >= from &&
      now - issued < replica::kReadWait) {
    Send(std::nullopt, kTick, [this, index, from, issued, incarnation] {
      if (nodes_[index].incarnation == incarnation) {
        FinishRead(index, from, true, issued);
      }
    });
    return;
  }
  SendTo(index, [this, page = std::move(page)](replica& to) {
    return to.OnLogPage(page, now);
  });
}

void fleet::RunAction(size_t index, const fetch_from_peer& action) {
  const bool starting = InForce(index).id.number == 0;
  const auto peer = static_cast<size_t>(std::stoul(action.node));
  ReachStep(starting ? protocol_step::kStartFetch : protocol_step::kFetch,
            index);
  const bool answered = Reaches(index, peer) && Reaches(peer, index) &&
                        nodes_[peer].paused_until <= now;
  if (!answered) {
    Send(index, kCallTimeout, [this, index] {
      RunActions(index, nodes_[index].replica->OnFetchError(now));
    });
    return;
  }
  SendTo(index, [this, bytes = nodes_[peer].replica->AnswerFetch(action.have)](
                    replica& to) { return to.OnFetchAnswer(bytes, now); });
}

// Checks independently of the replica that the revision number increases.
void fleet::RunAction(size_t index, const put_in_force& action) {
  node& n = nodes_[index];
  Check(action.next.id.number > n.highest_number, invariant::kConfigForward);
  n.highest_number = action.next.id.number;
  in_force_at[index] = now;
}

void fleet::RunAction(size_t index, const append_record& action) {
  const uint64_t incarnation = nodes_[index].incarnation;
  ReachStep(protocol_step::kRenewAppend, index);
  if (!LogReaches(index) || nodes_[index].incarnation != incarnation) {
    return;
  }
  for (int i = 0; i < Copies(); ++i) {
    Send(index, Delay(), [this, data = action.data] {
      if (!log.is_unreachable) {
        ++appends;
        log.Append(data, now);
      }
    });
  }
}

void fleet::RunAction(size_t /*index*/, const set_isolated& /*action*/) {}

void fleet::Gossip() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].paused_until > now) {
      continue;
    }
    ReachStep(protocol_step::kGossip, i);
    for (size_t k = 0; k < kGossipFanout && nodes_.size() > 1; ++k) {
      const size_t to = random_.Below(nodes_.size());
      if (to != i && Reaches(i, to)) {
        SendTo(to, [this, i, id = InForce(i).id](replica& other) {
          return other.OnPeerHead(std::to_string(i), id, now);
        });
      }
    }
  }
}

size_t fleet::Publish(const std::string& text, std::optional<uint64_t> base,
                      bool rebase) {
  publish_request request;
  request.fleet_key = kTestKey;
  request.author = "operator " + std::to_string(operators_.size());
  request.text = text;
  request.base = base;
  request.rebase = rebase;
  request.id[0] = static_cast<uint8_t>(operators_.size());
  request.id[1] = 1;
  request.published_at = now;
  request.deadline = now + millis(30'000);
  operators_.emplace_back();
  operators_.back().command = std::make_unique<publisher>(request);
  results.emplace_back();
  return operators_.size() - 1;
}

void fleet::StepOperator(size_t index) {
  operator_run& run = operators_[index];
  if (run.is_waiting || run.is_killed || results[index] ||
      run.paused_until > now) {
    return;
  }
  publish_step step = run.command->Next(now);
  if (auto* end = std::get_if<publish_result>(&step)) {
    results[index] = std::move(*end);
    return;
  }
  run.is_waiting = true;
  const auto done = [this, index](std::function<void(publisher&)> event) {
    Send(std::nullopt, Delay(), [this, index, event = std::move(event)] {
      operators_[index].is_waiting = false;
      event(*operators_[index].command);
    });
  };
  const auto failed = [this](publisher& p) { p.OnError(now); };
  if (const auto* read = std::get_if<publish_read>(&step)) {
    ReachStep(run.command->append_pending() ? protocol_step::kPublishLookup
                                            : protocol_step::kPublishRead,
              index);
    if (log.is_unreachable || operators_[index].is_killed) {
      done(failed);
    } else {
      done([this, page = log.Read(read->from)](publisher& p) {
        p.OnPage(page, now);
      });
    }
    return;
  }
  ReachStep(protocol_step::kPublishAppend, index);
  const auto& append = std::get<publish_append>(step);
  if (log.is_unreachable) {
    done(failed);
    return;
  }
  for (int i = 0; i < Copies(); ++i) {
    Send(std::nullopt, Delay(),
         [this, data = append.data] { log.Append(data, now); });
  }
  if (lose_answers) {
    done(failed);
  } else {
    done([this](publisher& p) { p.OnAppended(now); });
  }
}

revision fleet::LogHead() const {
  log_follower reader(kTestKey, true);
  while (!reader.caught_up()) {
    fake_log whole = log;
    whole.stale_by = 0;
    reader.OnPage(whole.Read(reader.next_offset()), now);
    if (reader.found_no_snapshot()) {
      reader.StartAtOldest();
    }
  }
  return reader.head();
}

}  // namespace peridotarch
