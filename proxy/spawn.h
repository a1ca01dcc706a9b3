#ifndef PROXY_SPAWN_H_
#define PROXY_SPAWN_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <exception>
#include <string>
#include <utility>

#include "core/task_failure.h"
#include "proxy/executor.h"

namespace peridotarch {

/// Starts a coroutine that nobody awaits: an awaitable, or a function that
/// returns one. An exception that leaves it is logged and counted under the
/// name of the task.
template <typename On, typename Work>
void SpawnLogged(On&& on, std::string task, Work&& work) {
  boost::asio::co_spawn(
      std::forward<On>(on), std::forward<Work>(work),
      [task = std::move(task)](const std::exception_ptr& failure) {
        if (failure) {
          ReportTaskFailure(task, failure);
        }
      });
}

/// Runs the coroutines that `start` returns one after the other until one ends
/// without an exception.
template <typename Start>
awaitable<void> RunUntilEnd(std::string task, Start start) {
  constexpr millis kPause(1'000);  // an error that persists is no busy loop
  const boost::asio::any_io_executor executor =
      co_await boost::asio::this_coro::executor;
  for (;;) {
    std::exception_ptr failure;
    try {
      co_await start();
      co_return;
    } catch (...) {
      failure = std::current_exception();
    }
    ReportTaskFailure(task, failure);
    co_await Sleep(executor, kPause);
  }
}

/// Starts a loop that nobody awaits. `start` returns its coroutine, and is
/// called again after an exception has left it.
template <typename On, typename Start>
void SpawnLoop(On&& on, const std::string& task, Start start) {
  SpawnLogged(std::forward<On>(on), task,
              RunUntilEnd<Start>(task, std::move(start)));
}

}  // namespace peridotarch

#endif  // PROXY_SPAWN_H_
