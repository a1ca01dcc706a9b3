#include "detection/ejection_record.h"

#include <msgpack.hpp>

#include "core/error.h"

namespace peridotarch {

namespace {

constexpr size_t kMaxArrayDepth = 4;

using packer = msgpack::packer<msgpack::sbuffer>;

// Reads the fields of an array in order.
class array_reader {
 public:
  array_reader(const msgpack::object& object, uint32_t size) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
      throw msgpack::type_error();
    }
    next_ = object.via.array.ptr;
  }

  template <typename T>
  void Read(T& value) {
    value = (next_++)->as<T>();
  }
  void Read(millis& value) { value = millis((next_++)->as<int64_t>()); }
  const msgpack::object& Next() { return *next_++; }

 private:
  const msgpack::object* next_;
};

constexpr uint32_t kLeaseFields = 7;
constexpr uint32_t kAllowanceFields = 3;
constexpr uint32_t kRecordFields = 9;

void Pack(packer& out, const ejection_lease& lease) {
  out.pack_array(kLeaseFields);
  out.pack(lease.instance);
  out.pack(lease.incarnation);
  out.pack(lease.holder);
  out.pack(lease.since.count());
  out.pack(lease.until.count());
  out.pack(lease.active);
  out.pack(lease.reason);
}

ejection_lease ReadLease(const msgpack::object& object) {
  array_reader in(object, kLeaseFields);
  ejection_lease lease;
  in.Read(lease.instance);
  in.Read(lease.incarnation);
  in.Read(lease.holder);
  in.Read(lease.since);
  in.Read(lease.until);
  in.Read(lease.active);
  in.Read(lease.reason);
  return lease;
}

void Pack(packer& out, const ejection_allowance& allowance) {
  out.pack_array(kAllowanceFields);
  out.pack(allowance.holder);
  out.pack(allowance.slots);
  out.pack(allowance.until.count());
}

ejection_allowance ReadAllowance(const msgpack::object& object) {
  array_reader in(object, kAllowanceFields);
  ejection_allowance allowance;
  in.Read(allowance.holder);
  in.Read(allowance.slots);
  in.Read(allowance.until);
  return allowance;
}

template <typename T>
void PackAll(packer& out, const std::vector<T>& values) {
  out.pack_array(static_cast<uint32_t>(values.size()));
  for (const T& value : values) {
    Pack(out, value);
  }
}

template <typename T>
std::vector<T> ReadAll(const msgpack::object& object,
                       T (*read)(const msgpack::object&)) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  std::vector<T> values;
  for (uint32_t i = 0; i < object.via.array.size; ++i) {
    values.push_back(read(object.via.array.ptr[i]));
  }
  return values;
}

ejection_record ReadRecord(const msgpack::object& object) {
  array_reader in(object, kRecordFields);
  ejection_record record;
  in.Read(record.service);
  std::vector<uint8_t> base;
  in.Read(base);
  if (base.size() != record.base.size()) {
    throw msgpack::type_error();
  }
  std::copy(base.begin(), base.end(), record.base.begin());
  in.Read(record.sequence);
  in.Read(record.proposer);
  in.Read(record.floor);
  in.Read(record.slots);
  in.Read(record.capacity_instances);
  record.leases = ReadAll(in.Next(), ReadLease);
  record.allowances = ReadAll(in.Next(), ReadAllowance);
  return record;
}

}  // namespace

std::string Encode(const ejection_record& record) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kRecordFields);
  out.pack(record.service);
  out.pack(std::vector<uint8_t>(record.base.begin(), record.base.end()));
  out.pack(record.sequence);
  out.pack(record.proposer);
  out.pack(record.floor);
  out.pack(record.slots);
  out.pack(record.capacity_instances);
  PackAll(out, record.leases);
  PackAll(out, record.allowances);
  return {buffer.data(), buffer.size()};
}

ejection_record DecodeEjection(std::string_view bytes) {
  try {
    size_t offset = 0;
    const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(),
                                      bytes.size(), 0, kMaxArrayDepth);
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      throw codec_error("ejection record: trailing bytes");
    }
    return ReadRecord(handle.get());
  } catch (const msgpack::type_error&) {
    throw codec_error("ejection record: a field has the wrong type");
  } catch (const msgpack::unpack_error&) {
    throw codec_error("ejection record: not MessagePack");
  }
}

}  // namespace peridotarch
