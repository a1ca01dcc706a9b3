#ifndef PROXY_REQUEST_MEMORY_H_
#define PROXY_REQUEST_MEMORY_H_

#include <memory>

namespace peridotarch {

class http_session;
class memory_reservation;
struct node;

/// Returns the part in the node's memory of the next request on a connection.
/// Its read ends if it has to give that part back.
std::shared_ptr<memory_reservation> ReserveRequest(
    const node& here, const std::shared_ptr<http_session>& session);

/// Sets the gauges of the memory in use and of the open connections.
void UpdateMemoryGauges(node& here);

}  // namespace peridotarch

#endif  // PROXY_REQUEST_MEMORY_H_
