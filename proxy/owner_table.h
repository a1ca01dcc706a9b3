#ifndef PROXY_OWNER_TABLE_H_
#define PROXY_OWNER_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/rcu_cell.h"

namespace peridotarch {

class claim_log;
class owner_shard;
struct node;

/// The shards that this node runs. A shard is set up when the first request
/// for it arrives or when this node becomes its owner.
class owner_table {
 public:
  explicit owner_table(node& parent);

  /// Returns the shard, set up if need be. Takes a lock only then.
  std::shared_ptr<owner_shard> Get(const std::string& service, int index);

  /// Returns the claims of a service's keys, set up if need be.
  std::shared_ptr<claim_log> Claims(const std::string& service);

  /// Returns all shards that were set up.
  [[nodiscard]] std::vector<std::shared_ptr<owner_shard>> All() const;

 private:
  using shard_table =
      std::map<std::pair<std::string, int>, std::shared_ptr<owner_shard>>;

  node& node_;
  rcu_cell<shard_table> shards_;
  std::mutex mutex_;  ///< Held while a shard or a service's claims are set up.
  std::map<std::string, std::shared_ptr<claim_log>> claims_;
};

}  // namespace peridotarch

#endif  // PROXY_OWNER_TABLE_H_
