// Measures what gossip costs a node: bytes sent and received a second, share of
// a core and memory, against the number of nodes: gossip_cost [SECONDS [N...]].

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <numeric>
#include <vector>

#include "gossip_net.h"
#include "inner/seal.h"

namespace peridotarch::measure {
namespace {

constexpr size_t kUdpHeaders = 28;  ///< IP and UDP, in bytes.
constexpr int kWarmSeconds = 30;
constexpr int kChangeEvery = 99;  ///< Seconds between changes of revision.
constexpr double kReplacedADay = 720.0 / 800;  ///< Per node.

struct traffic {
  uint64_t sent = 0;
  uint64_t messages = 0;
  uint64_t largest = 0;
};

double Cpu() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

// Sends every message through codec and seal, as the shell does. Nodes are
// replaced and revisions change at the rates that are expected.
void Measure(int count, int seconds) {
  const size_t before = mallinfo2().uordblks;
  gossip_net net(static_cast<uint64_t>(count));
  std::map<int, sealer> sealers;
  unsealer opener("fleet key", millis(5'000));
  for (int i = 0; i < count; ++i) {
    sealers.emplace(i, sealer("fleet key", gossip_net::IdOf(i) + "/1"));
  }
  traffic total;
  double codec_cpu = 0;
  net.wire = [&](int from, const gossip_message& message) {
    const double start = Cpu();
    const std::string sealed =
        sealers.at(from).Seal(Encode(message), net.now());
    total.sent += sealed.size() + kUdpHeaders;
    ++total.messages;
    total.largest = std::max<uint64_t>(total.largest, sealed.size());
    std::string_view body;
    std::string_view sender;
    opener.Open(sealed, net.now(), &body, &sender);
    gossip_message arriving = DecodeGossip(body);
    codec_cpu += Cpu() - start;
    return arriving;
  };
  std::vector<int> numbers(static_cast<size_t>(count));
  std::iota(numbers.begin(), numbers.end(), 0);
  net.List(numbers);
  for (const int number : numbers) {
    net.Start(number);
  }
  net.Run(millis(kWarmSeconds * 1000));
  int until_converged = kWarmSeconds;
  while (!net.Converged() && until_converged < 120) {
    net.Run(millis(10'000));
    until_converged += 10;
  }
  total = {};
  codec_cpu = 0;
  const double start = Cpu();
  uint64_t most_in_a_second = 0;
  double replaced = 0;
  random_bits random(7);
  for (int second = 0; second < seconds; ++second) {
    const uint64_t sent = total.sent;
    if (second % kChangeEvery == 5) {
      for (const int number : numbers) {
        net.at(number).SetRevision(1 + static_cast<uint64_t>(second), 1);
      }
    }
    replaced += kReplacedADay * count / 86'400;
    if (replaced >= 1) {
      replaced -= 1;
      net.Start(static_cast<int>(random.Below(count)));
    }
    net.Run(millis(1'000));
    most_in_a_second = std::max(most_in_a_second, total.sent - sent);
  }
  const double cpu = Cpu() - start;
  const size_t after = mallinfo2().uordblks;
  const double node_seconds = static_cast<double>(count) * seconds;
  std::printf(
      "%5d | %8.2f %8.2f | %6.1f | %7lu | %8.3f %8.3f | %8.1f | %d\n", count,
      2.0 * static_cast<double>(total.sent) / node_seconds / 1000,
      2.0 * static_cast<double>(most_in_a_second) / count / 1000,
      static_cast<double>(total.messages) / node_seconds,
      static_cast<unsigned long>(total.largest), 100 * cpu / node_seconds,
      100 * codec_cpu / node_seconds,
      static_cast<double>(after - before) / count / 1000, until_converged);
  std::fflush(stdout);
}

}  // namespace
}  // namespace peridotarch::measure

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 60;
  std::vector<int> counts = {4, 8, 16, 32, 64};
  if (argc > 2) {
    counts.clear();
    for (int i = 2; i < argc; ++i) {
      counts.push_back(std::atoi(argv[i]));
    }
  }
  std::printf(
      "per node; bytes are sent and received together, with seal and headers;\n"
      "processor time is that of the whole simulation\n"
      "nodes | KB/s mean, worst second | msg/s | largest | %% of a core, codec "
      "and seal | KB memory | s to converge\n");
  for (const int count : counts) {
    peridotarch::measure::Measure(count, seconds);
  }
  return 0;
}
