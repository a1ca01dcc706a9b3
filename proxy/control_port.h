#ifndef PROXY_CONTROL_PORT_H_
#define PROXY_CONTROL_PORT_H_

#include <functional>
#include <string>

#include "inner/gossip.h"

namespace peridotarch {

/// What the shards ask of the control loops. Set before any request is served;
/// callable from any thread.
struct control_port {
  std::function<void(std::string)> append_ejections;  ///< A ledger record.
  std::function<void(opinion_note)> ask_opinions;
  std::function<void(leaving_note)> note_leaving;
};

}  // namespace peridotarch

#endif  // PROXY_CONTROL_PORT_H_
