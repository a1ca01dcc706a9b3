#ifndef PROXY_CONNECTION_LIMIT_H_
#define PROXY_CONNECTION_LIMIT_H_

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>

namespace peridotarch {

class connection_place;
class http_session;

/// Bounds how many accepted connections are open. Beyond that the one that has
/// been idle for the longest time is closed. Safe on any thread.
class connection_limit {
 public:
  explicit connection_limit(size_t most) : most_(most) {}

  [[nodiscard]] size_t open() const;

 private:
  friend class connection_place;

  /// Returns whether there is room for one more, which then counts as open.
  bool Enter();
  void Leave(connection_place& place);
  void SetIdle(connection_place& place, bool is_idle);

  const size_t most_;
  mutable std::mutex mutex_;
  size_t open_ = 0;
  /// Those without a whole request, the one that lacks it for longest first.
  std::list<connection_place*> idle_;
};

/// The place of one connection, until this object ends.
class connection_place {
 public:
  connection_place(connection_limit& limit,
                   const std::shared_ptr<http_session>& session);
  ~connection_place();
  connection_place(const connection_place&) = delete;
  connection_place& operator=(const connection_place&) = delete;

  /// Returns false if too many connections are open and none is idle. This one
  /// is then to be closed.
  [[nodiscard]] bool is_admitted() const { return is_admitted_; }
  /// An idle connection has sent no whole request, and may be closed.
  void SetIdle(bool is_idle) { limit_.SetIdle(*this, is_idle); }

 private:
  friend class connection_limit;

  connection_limit& limit_;
  const std::weak_ptr<http_session> session_;
  std::list<connection_place*>::iterator position_;  ///< While `is_idle_`.
  bool is_idle_ = false;
  const bool is_admitted_;
};

}  // namespace peridotarch

#endif  // PROXY_CONNECTION_LIMIT_H_
