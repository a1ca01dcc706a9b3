#include "front/answer_memory.h"

#include <catch2/catch.hpp>
#include <memory>

namespace peridotarch {
namespace {

constexpr uint64_t kLimit = 1 << 20;
constexpr uint64_t kShort = 10 << 10;

/// A body that counts how often it is dropped.
struct body {
  explicit body(const std::shared_ptr<answer_memory>& memory)
      : reservation(memory, [this] { ++dropped; }) {}

  int dropped = 0;
  answer_reservation reservation;
};

TEST_CASE("answer memory: the largest body in read is dropped, once") {
  const auto memory = std::make_shared<answer_memory>(kLimit);
  body large(memory);
  body usual(memory);
  CHECK(large.reservation.Resize(kLimit - kShort));
  CHECK(usual.reservation.Resize(kShort + 1));
  CHECK(large.dropped == 1);
  CHECK(usual.dropped == 0);
  CHECK(memory->in_use() == kShort + 1);
  CHECK_FALSE(large.reservation.Resize(kLimit));
  CHECK(large.dropped == 1);
  CHECK(memory->in_use() == kShort + 1);
}

TEST_CASE("answer memory: a body that exceeds the limit alone is dropped") {
  const auto memory = std::make_shared<answer_memory>(kLimit);
  body endless(memory);
  CHECK(endless.reservation.Resize(kLimit));
  CHECK_FALSE(endless.reservation.Resize(kLimit + 1));
  CHECK(endless.dropped == 1);
  CHECK(memory->in_use() == 0);
  CHECK(memory->peak() == kLimit);
}

TEST_CASE("answer memory: whole bodies count until they end, and stay") {
  const auto memory = std::make_shared<answer_memory>(kLimit);
  auto whole = std::make_unique<body>(memory);
  CHECK(whole->reservation.Resize(kLimit - kShort));
  whole->reservation.Complete();
  body growing(memory);
  CHECK_FALSE(growing.reservation.Resize(kLimit / 2));
  CHECK(whole->dropped == 0);
  // A usual answer is taken all the same.
  body usual(memory);
  CHECK(usual.reservation.Resize(kShort + 1));
  whole.reset();
  CHECK(memory->in_use() == kShort + 1);
}

TEST_CASE("answer memory: a body that shrinks gives its memory back") {
  const auto memory = std::make_shared<answer_memory>(kLimit);
  body stray(memory);
  CHECK(stray.reservation.Resize(kLimit));
  CHECK(stray.reservation.Resize(0));
  CHECK(memory->in_use() == 0);
  CHECK(memory->peak() == kLimit);
}

}  // namespace
}  // namespace peridotarch
