#include "proxy/spawn.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "core/metrics.h"

namespace peridotarch {
namespace {

// Exceptions of tasks that nobody awaits ended them without a trace.
TEST_CASE("an exception that leaves a task is logged and counted by task") {
  std::string logged;
  SetTaskFailureLog([&logged](std::string_view task, std::string_view what) {
    logged += std::string(task) + ": " + std::string(what) + "\n";
  });
  boost::asio::io_context context;
  SpawnLogged(context, "one", []() -> awaitable<void> {
    throw std::runtime_error("wrong");
    co_return;
  });
  SpawnLogged(context, "other", []() -> awaitable<void> {
    throw 7;
    co_return;
  });
  int starts = 0;
  SpawnLoop(context, "loop", [&starts]() -> awaitable<void> {
    if (++starts == 1) {
      throw std::runtime_error("once");
    }
    co_return;
  });
  context.run();
  SetTaskFailureLog([](std::string_view, std::string_view) {});
  CHECK(starts == 2);
  CHECK(logged ==
        "one: wrong\nother: an exception of an unknown type\nloop: once\n");
  CHECK(TaskFailures()["loop"] == 1);
  CHECK(metrics().ToText().find(
            "peridotarch_task_failures_total{task=\"one\"} 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace peridotarch
