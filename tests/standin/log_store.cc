#include "standin/log_store.h"

#include <algorithm>
#include <utility>

namespace peridotarch::standin {

uint64_t log_store::Append(const std::string& name, std::string data,
                           millis now) {
  one_stream& stream = streams_[name];
  const log_record record{stream.next++, now, std::move(data)};
  stream.records.push_back(record);
  history_[name].push_back(kept_record{epoch_, record});
  Expire(stream, now);
  return record.offset;
}

log_page log_store::Read(const std::string& name, uint64_t from, size_t max,
                         uint64_t behind, millis now) {
  one_stream& stream = streams_[name];
  Expire(stream, now);
  log_page page;
  page.next = stream.next - std::min(behind, stream.next);
  page.first = stream.next - stream.records.size();
  page.first = std::min(page.first, page.next);
  for (const log_record& record : stream.records) {
    if (record.offset >= page.next || page.records.size() >= max) {
      break;
    }
    if (record.offset >= from) {
      page.records.push_back(record);
    }
  }
  return page;
}

void log_store::Reset() {
  streams_.clear();
  ++epoch_;
}

void log_store::Expire(one_stream& stream, millis now) const {
  auto& records = stream.records;
  while (!records.empty() &&
         (records.size() > bounds_.count ||
          records.front().appended_at + bounds_.age < now)) {
    records.pop_front();
  }
}

}  // namespace peridotarch::standin
