#ifndef CORE_TASK_FAILURE_H_
#define CORE_TASK_FAILURE_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace peridotarch {

/// Called with the name of a task and the text of the exception that left it.
using task_failure_log =
    std::function<void(std::string_view task, std::string_view what)>;

/// Sets where failures are logged; the standard error output by default.
void SetTaskFailureLog(task_failure_log log);

/// Counts and logs an exception that left a task which nobody awaits.
void ReportTaskFailure(std::string_view task, const std::exception_ptr& cause);

/// Returns the failures by task since the process started.
std::map<std::string, uint64_t> TaskFailures();

}  // namespace peridotarch

#endif  // CORE_TASK_FAILURE_H_
