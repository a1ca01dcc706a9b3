#include "detection/ledger.h"

#include <catch2/catch.hpp>

#include "core/error.h"

namespace peridotarch {
namespace {

constexpr millis kWall(1'700'000'000'000);

ejection_record FirstRecord() {
  ejection_record record;
  record.service = "payout";
  record.proposer = "a/1/0";
  record.floor = 12;
  record.slots = 3;
  record.capacity_instances = {"i0", "i1", "i2", "i3", "i4", "i5"};
  return record;
}

ejection_lease MakeLease(const std::string& instance,
                         const std::string& holder) {
  return {instance, 1, holder, kWall, kWall + kLeaseSpan, true, "fails"};
}

TEST_CASE("an ejection record decodes to what was encoded") {
  ejection_record record = FirstRecord();
  record.leases.push_back(MakeLease("i0", "a/1/0"));
  record.allowances.push_back({"a/1/0", 3, kWall + kLeaseSpan});
  const ejection_record got = DecodeEjection(Encode(record));
  REQUIRE(got.service == record.service);
  REQUIRE(got.capacity_instances == record.capacity_instances);
  REQUIRE(got.leases == record.leases);
  REQUIRE(got.allowances == record.allowances);
  const std::string bytes = Encode(record);
  for (size_t i = 0; i < bytes.size(); ++i) {
    REQUIRE_THROWS_AS(DecodeEjection(bytes.substr(0, i)), codec_error);
  }
}

TEST_CASE("of two records with the same base only the first is accepted") {
  ledger chain("payout");
  REQUIRE(chain.Apply(Encode(FirstRecord()), kWall) == apply_result::kAccepted);
  ejection_record one = chain.MakeNext("a/1/0", kWall);
  one.floor = 12;
  one.slots = 3;
  one.capacity_instances = FirstRecord().capacity_instances;
  ejection_record two = one;
  two.proposer = "b/1/0";
  one.leases.push_back(MakeLease("i0", "a/1/0"));
  two.leases.push_back(MakeLease("i1", "b/1/0"));
  REQUIRE(chain.Apply(Encode(one), kWall) == apply_result::kAccepted);
  REQUIRE(chain.Apply(Encode(two), kWall) == apply_result::kNotNext);
  REQUIRE(chain.Apply(Encode(one), kWall) == apply_result::kNotNext);
  REQUIRE(chain.head()->leases.size() == 1);
}

TEST_CASE("a record that would break the floor is rejected") {
  ledger chain("payout");
  ejection_record record = FirstRecord();
  record.leases = {MakeLease("i0", "a/1/0"), MakeLease("i1", "a/1/0")};
  record.allowances = {{"a/1/0", 3, kWall + kLeaseSpan}};
  REQUIRE(chain.Apply(Encode(record), kWall) == apply_result::kBreaksFloor);
  record.leases.pop_back();
  REQUIRE(chain.Apply(Encode(record), kWall) == apply_result::kAccepted);
}

TEST_CASE("a lease of another process is kept until it ends") {
  ledger chain("payout");
  ejection_record record = FirstRecord();
  record.leases = {MakeLease("i0", "a/1/0")};
  REQUIRE(chain.Apply(Encode(record), kWall) == apply_result::kAccepted);
  ejection_record next = chain.MakeNext("b/1/0", kWall);
  next.floor = 12;
  next.slots = 3;
  next.capacity_instances = record.capacity_instances;
  REQUIRE(next.leases.size() == 1);
  ejection_record drops = next;
  drops.leases.clear();
  REQUIRE(chain.Validate(drops, kWall) == apply_result::kDropsLease);
  REQUIRE(chain.Validate(drops, kWall + kLeaseSpan) == apply_result::kAccepted);
  ejection_record grants = next;
  grants.leases.push_back(MakeLease("i1", "c/1/0"));
  REQUIRE(chain.Validate(grants, kWall) == apply_result::kDropsLease);
  next.leases[0].active = false;
  REQUIRE(chain.Validate(next, kWall) == apply_result::kAccepted);
}

TEST_CASE("below the floor a record may release leases but not add any") {
  ledger chain("payout");
  ejection_record record = FirstRecord();
  record.leases = {MakeLease("i0", "a/1/0"), MakeLease("i1", "a/1/0")};
  REQUIRE(chain.Apply(Encode(record), kWall) == apply_result::kAccepted);
  ejection_record next = chain.MakeNext("a/1/0", kWall);
  next.floor = 12;
  next.slots = 3;
  next.capacity_instances = {"i0", "i1", "i2", "i3"};
  next.leases = {MakeLease("i0", "a/1/0")};
  REQUIRE(chain.Validate(next, kWall) == apply_result::kAccepted);
  next.leases.push_back(MakeLease("i2", "a/1/0"));
  REQUIRE(chain.Validate(next, kWall) == apply_result::kBreaksFloor);
}

TEST_CASE("a lease longer than kLeaseSpan plus kClockMargin is rejected") {
  ledger chain("payout");
  ejection_record record = FirstRecord();
  record.leases = {MakeLease("i0", "a/1/0")};
  record.leases[0].until = kWall + kLeaseSpan + kClockMargin + millis(1);
  REQUIRE(chain.Apply(Encode(record), kWall) == apply_result::kTooLong);
}

TEST_CASE("a reader that starts in the middle of the chain finds its head") {
  ledger whole("payout");
  std::vector<std::string> stream;
  const auto append = [&](const ejection_record& record) {
    stream.push_back(Encode(record));
    return whole.Apply(stream.back(), kWall);
  };
  REQUIRE(append(FirstRecord()) == apply_result::kAccepted);
  for (int i = 0; i < 5; ++i) {
    ejection_record next = whole.MakeNext("a/1/0", kWall);
    next.floor = 12;
    next.slots = 3;
    next.capacity_instances = FirstRecord().capacity_instances;
    ejection_record rival = next;
    rival.proposer = "b/1/0";
    REQUIRE(append(next) == apply_result::kAccepted);
    REQUIRE(append(rival) == apply_result::kNotNext);
  }
  for (size_t from = 0; from + 3 <= stream.size(); ++from) {
    ledger late("payout");
    for (size_t i = from; i < stream.size(); ++i) {
      late.Apply(stream[i], kWall);
    }
    REQUIRE(late.head_digest() == whole.head_digest());
  }
}

}  // namespace
}  // namespace peridotarch
