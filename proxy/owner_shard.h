#ifndef PROXY_OWNER_SHARD_H_
#define PROXY_OWNER_SHARD_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "inner/forwarded_call.h"
#include "platform/awaitable.h"
#include "platform/block_body.h"
#include "platform/host.h"
#include "proxy/call.h"
#include "proxy/executor.h"
#include "proxy/shard_judge.h"
#include "proxy/wait_cell.h"
#include "request/call_info.h"
#include "request/retry_budget.h"
#include "request/shard.h"

namespace peridotarch {

class claim_log;
class upstream_link;
struct attempt_result;
struct config_snapshot;
struct node;

/// A shard of a service as its owner runs it: slots, queue, connections and
/// judgement, all on one strand.
class owner_shard : public std::enable_shared_from_this<owner_shard> {
 public:
  owner_shard(node& parent, std::string service, int index);
  ~owner_shard();

  /// Starts the shard's timers.
  void Start();

  /// Runs a request to its end; callable from any executor.
  awaitable<call_result> Run(forwarded_call call, block_request request);

  /// Takes in the platform's list and the rules in force; callable from any
  /// thread.
  void SetHosts(std::shared_ptr<const host_list> hosts,
                std::shared_ptr<const config_snapshot> config);

  /// Says whether this node owns the shard; callable from any thread.
  void SetOwned(bool owned);

  /// Takes in peers' words; callable from any thread.
  void OnLeaving(leaving_note note);
  void OnOpinion(opinion_note opinion);

  [[nodiscard]] const std::string& service() const { return service_; }
  [[nodiscard]] int index() const { return index_; }

  /// Returns the state of the shard; safe on any thread.
  [[nodiscard]] shard_status Status() const { return judge_.Status(); }

  /// Most of the shard's instances fail from here; safe on any thread.
  [[nodiscard]] bool DoubtsItself() const { return doubts_.load(); }

 private:
  /// One request while the shard works on it.
  struct run {
    forwarded_call call;
    block_request request;
    millis deadline;
    int attempts = 0;
    int sheds = 0;
    std::string failed_at;  ///< Instance of the latest attempt.
    verdict attempts_said = verdict::kNotRun;
    reason latest = reason::kNoCapacity;
  };

  awaitable<call_result> RunHere(forwarded_call call, block_request request);
  awaitable<call_result> RunKeyed(run& now);
  awaitable<call_result> RunAttempts(run& now, uint64_t submission);
  awaitable<shard_action> WaitForSlot(ticket id, const run& now);
  awaitable<attempt_result> Attempt(run& now, const std::string& instance,
                                    ticket id);
  awaitable<void> CancelLate(upstream_link& link, const std::string& attempt,
                             attempt_result& result);
  awaitable<void> TickRegularly();
  awaitable<void> Probe(std::string instance);
  bool MayRetry(const run& now);
  void Pump();
  void TickJudge();
  void ApplyHosts(const host_list& hosts, const config_snapshot& config);
  void ApplyInstances();

  node& node_;
  strand strand_;
  const std::string service_;
  const int index_;
  std::shared_ptr<claim_log> claims_;
  shard scheduler_;
  retry_budget budget_;
  std::map<std::string, std::shared_ptr<upstream_link>> links_;
  shard_judge judge_;
  std::atomic<bool> doubts_ = false;
  std::unordered_map<ticket, wait_cell<shard_action>> waiting_;
  ticket next_ticket_ = 1;
};

}  // namespace peridotarch

#endif  // PROXY_OWNER_SHARD_H_
