#include "config/bench.h"

#include <string>

#include "config/line_diff.h"
#include "config/parse.h"
#include "config/record.h"
#include "config/replica.h"
#include "core/random.h"

namespace peridotarch {

namespace {

constexpr int kLines = 40;
constexpr int kRecords = 200;
constexpr uint64_t kRecordKinds = 5;
constexpr const char* kKey = "the key of the bench";

std::string MakeRules(random_bits& random) {
  std::string text;
  for (int i = 0; i < kLines; ++i) {
    text += "limit team t" + std::to_string(i) + " rate " +
            std::to_string(1 + random.Below(3)) + "/s burst 9  # bench\n";
  }
  return text;
}

// Returns a publish record based on the head or on an older revision, a
// snapshot record, or garbage.
std::string MakeRecord(random_bits& random, const revision& head,
                       const revision& older) {
  const uint64_t kind = random.Below(kRecordKinds);
  if (kind == 0) {
    return std::to_string(random());
  }
  if (kind == 1) {
    return EncodeRecord(ToSnapshotRecord(older, false, {}), kKey);
  }
  const revision& base = kind == 2 ? older : head;
  const std::string text = MakeRules(random);
  publish_record record;
  record.base = base.id;
  record.text_digest = Sha256(text);
  record.edits = DiffLines(base.snapshot->text, text);
  record.author = "bench";
  return EncodeRecord(record, kKey);
}

uint64_t MixHash(uint64_t hash, std::string_view text) {
  return Hash64(text, hash);
}

}  // namespace

uint64_t BenchConfig(uint64_t seed) {
  random_bits random(seed);
  replica_settings settings;
  settings.fleet_key = kKey;
  settings.seed = seed;
  replica node(settings);
  revision_chain chain(kKey);
  revision older = EmptyRevision();
  log_page page;
  uint64_t hash = seed;
  millis now(1);
  for (int i = 0; i < kRecords; ++i) {
    const revision head = chain.head();
    page.records = {{page.next, now, MakeRecord(random, head, older)}};
    const applied_record applied =
        chain.Apply(page.next, now, page.records.front().data);
    ++page.next;
    older = random.Below(2) == 0 ? head : older;
    hash = MixHash(hash, ToName(applied.outcome));
    now += millis(static_cast<int64_t>(random.Below(500)));
    const size_t actions = node.OnLogPage(page, now).size();
    hash = MixHash(hash, ToText(node.in_force().id) + std::to_string(actions));
  }
  return MixHash(hash, ToText(chain.head().id));
}

}  // namespace peridotarch
