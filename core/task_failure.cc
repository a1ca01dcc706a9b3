#include "core/task_failure.h"

#include <cstdio>
#include <mutex>
#include <utility>

namespace peridotarch {

namespace {

void LogToStandardError(std::string_view task, std::string_view what) {
  std::string line = "task " + std::string(task) + " failed: ";
  line += what;
  line += '\n';
  std::fputs(line.c_str(), stderr);
}

struct failure_record {
  std::mutex mutex;
  std::map<std::string, uint64_t> counts;
  task_failure_log log = LogToStandardError;
};

failure_record& Record() {
  static failure_record record;
  return record;
}

std::string TextOf(const std::exception_ptr& cause) {
  try {
    std::rethrow_exception(cause);
  } catch (const std::exception& failure) {
    return failure.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

}  // namespace

void SetTaskFailureLog(task_failure_log log) {
  failure_record& record = Record();
  const std::lock_guard lock(record.mutex);
  record.log = std::move(log);
}

void ReportTaskFailure(std::string_view task, const std::exception_ptr& cause) {
  const std::string what = TextOf(cause);
  failure_record& record = Record();
  const std::lock_guard lock(record.mutex);
  ++record.counts[std::string(task)];
  record.log(task, what);
}

std::map<std::string, uint64_t> TaskFailures() {
  failure_record& record = Record();
  const std::lock_guard lock(record.mutex);
  return record.counts;
}

}  // namespace peridotarch
