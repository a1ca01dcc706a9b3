#include "proxy/connection_limit.h"

#include <boost/asio/post.hpp>

#include "proxy/http_session.h"

namespace peridotarch {

size_t connection_limit::open() const {
  const std::lock_guard lock(mutex_);
  return open_;
}

// A connection that is closed here counts until its session ends, which takes a
// turn of the event loop.
bool connection_limit::Enter() {
  std::shared_ptr<http_session> longest;
  {
    const std::lock_guard lock(mutex_);
    if (open_ >= most_) {
      if (idle_.empty()) {
        return false;
      }
      connection_place& place = *idle_.front();
      idle_.pop_front();
      place.is_idle_ = false;
      longest = place.session_.lock();
    }
    ++open_;
  }
  if (longest) {
    const auto executor = longest->stream().get_executor();
    boost::asio::post(executor, [longest] { longest->CloseIfNotServing(); });
  }
  return true;
}

void connection_limit::Leave(connection_place& place) {
  SetIdle(place, false);
  const std::lock_guard lock(mutex_);
  --open_;
}

void connection_limit::SetIdle(connection_place& place, bool is_idle) {
  const std::lock_guard lock(mutex_);
  if (place.is_idle_ == is_idle) {
    return;
  }
  place.is_idle_ = is_idle;
  if (is_idle) {
    place.position_ = idle_.insert(idle_.end(), &place);
  } else {
    idle_.erase(place.position_);
  }
}

connection_place::connection_place(connection_limit& limit,
                                   const std::shared_ptr<http_session>& session)
    : limit_(limit), session_(session), is_admitted_(limit.Enter()) {}

connection_place::~connection_place() {
  if (is_admitted_) {
    limit_.Leave(*this);
  }
}

}  // namespace peridotarch
