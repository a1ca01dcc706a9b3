#ifndef PROXY_ADMIN_H_
#define PROXY_ADMIN_H_

#include <memory>

namespace peridotarch {

class control;
class rpc_server;
struct node;

/// Returns the JSON-RPC methods of a proxy: `status`, `timeline`,
/// `config_head`, `config_fetch`. Its requests are handled on the strand of
/// `loops`.
std::unique_ptr<rpc_server> MakeAdmin(node& here, control& loops);

}  // namespace peridotarch

#endif  // PROXY_ADMIN_H_
