#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "memory/body_blocks.h"

namespace peridotarch {
namespace {

constexpr uint64_t kTotal = 1 << 20;

std::shared_ptr<memory_reservation> Reserve(
    const std::shared_ptr<memory_budget>& budget) {
  return std::make_shared<memory_reservation>(
      budget, memory_kind::kRequest, [] {}, millis(0));
}

// Bytes that were received and not read counted for nothing, so a process had
// more than its memory.
TEST_CASE("unread bytes: they count for the request that is read") {
  const auto budget =
      std::make_shared<memory_budget>(memory_limits{kTotal, kTotal / 2});
  body_blocks body(Reserve(budget));
  const std::string piece(100 << 10, 'b');
  CHECK(body.Append(piece, piece.size(), millis(1)));
  const uint64_t read = budget->in_use();
  CHECK(body.SetUnreadBytes(50 << 10, millis(1)));
  CHECK(budget->in_use() == read + (50 << 10));
  CHECK(body.SetUnreadBytes(0, millis(1)));
  CHECK(budget->in_use() == read);
}

TEST_CASE("unread bytes: a request without room for them is ended") {
  const auto budget =
      std::make_shared<memory_budget>(memory_limits{kTotal, kTotal / 2});
  body_blocks body(Reserve(budget));
  const std::string piece(100 << 10, 'b');
  CHECK(body.Append(piece, piece.size(), millis(1)));
  CHECK_FALSE(body.SetUnreadBytes(kTotal, millis(1)));
  CHECK(budget->in_use() == 0);
}

TEST_CASE("unread bytes: a whole request has none") {
  const auto budget =
      std::make_shared<memory_budget>(memory_limits{kTotal, kTotal / 2});
  body_blocks body(Reserve(budget));
  const std::string piece(4 << 10, 'b');
  CHECK(body.Append(piece, piece.size(), millis(1)));
  CHECK(body.SetUnreadBytes(50 << 10, millis(1)));
  CHECK(body.SetHeadBytes(1 << 10, millis(1)));
  CHECK(budget->in_use() == (5 << 10));
}

}  // namespace
}  // namespace peridotarch
