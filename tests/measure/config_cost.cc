// Prints what the configuration costs at the target's size: 4,500 routes,
// 18,000 teams, 150 services.
#include <malloc.h>

#include <chrono>
#include <iostream>
#include <string>

#include "config/line_diff.h"
#include "config/parse.h"
#include "config/record.h"
#include "config/revision_chain.h"
#include "config/snapshot.h"

namespace peridotarch {
namespace {

constexpr int kServices = 150;
constexpr int kRoutes = 4500;
constexpr int kTeams = 18'000;
constexpr int kChanges = 50;
constexpr int kMatches = 1'000'000;
constexpr const char* kKey = "the key of the measure";

std::string Text(int changed) {
  std::string text;
  for (int i = 0; i < kServices; ++i) {
    text += "service svc-" + std::to_string(i) +
            " floor 60 slots/instance 4 weigh detection-time  # platform\n";
  }
  for (int i = 0; i < kRoutes; ++i) {
    text += "route GET /area" + std::to_string(i % 90) + "/item" +
            std::to_string(i) + "/* -> svc-" + std::to_string(i % kServices) +
            " idempotent timeout 800ms retries 2  # team " +
            std::to_string(i % 300) + ": lookup\n";
  }
  for (int i = 0; i < kTeams; ++i) {
    text += "limit team team-" + std::to_string(i) + " rate " +
            std::to_string(i < changed ? 21 : 20) + "/s burst 40  # team " +
            std::to_string(i) + ": polls\n";
  }
  return text;
}

template <typename Work>
double Milliseconds(Work work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

size_t HeapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

int Run() {
  const std::string text = Text(0);
  std::cout << "rules " << kServices + kRoutes + kTeams << ", bytes "
            << text.size() << '\n';
  std::cout << "parse and check ms " << Milliseconds([&] { ParseRules(text); })
            << '\n';
  const size_t before = HeapBytes();
  std::shared_ptr<const config_snapshot> snapshot;
  std::cout << "snapshot ms "
            << Milliseconds([&] { snapshot = MakeSnapshot(1, text); }) << '\n';
  std::cout << "snapshot heap bytes " << HeapBytes() - before << '\n';
  size_t found = 0;
  const double matching = Milliseconds([&] {
    for (int i = 0; i < kMatches; ++i) {
      const bool hit = snapshot->routes.Match("GET", "/area7/item97/5");
      found += hit ? 1 : 0;
    }
  });
  std::cout << "match ns " << matching * 1e6 / kMatches << " found " << found
            << '\n';
  revision_chain chain(kKey);
  revision head{{1, {}}, "measure", millis(), snapshot};
  std::cout << "snapshot record bytes "
            << EncodeRecord(ToSnapshotRecord(head, true, {}), kKey).size()
            << '\n';
  chain.Start(head, 0);
  size_t bytes = 0;
  double folding = 0;
  double encoding = 0;
  for (int i = 1; i <= kChanges; ++i) {
    std::string record_bytes;
    encoding += Milliseconds([&] {
      const std::string changed = Text(i);
      publish_record record;
      record.base = chain.head().id;
      record.text_digest = Sha256(changed);
      record.edits = DiffLines(chain.head().snapshot->text, changed);
      record.author = "measure";
      record_bytes = EncodeRecord(record, kKey);
    });
    bytes += record_bytes.size();
    folding += Milliseconds([&] {
      chain.Apply(static_cast<uint64_t>(i), millis(i), record_bytes);
    });
  }
  std::cout << "accepted " << chain.head().id.number - 1 << " of " << kChanges
            << '\n';
  std::cout << "diff record bytes, one line " << bytes / kChanges << '\n';
  std::cout << "fold ms a change " << folding / kChanges << '\n';
  std::cout << "make text, diff and encode ms " << encoding / kChanges << '\n';
  return 0;
}

}  // namespace
}  // namespace peridotarch

int main() { return peridotarch::Run(); }
