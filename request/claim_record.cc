#include "request/claim_record.h"

#include <algorithm>
#include <msgpack.hpp>

#include "core/hash.h"

namespace peridotarch {

namespace {

constexpr std::string_view kFormat = "claims3";
constexpr uint64_t kChecksumSeed = 0x636c61696d733033;
constexpr size_t kEntryFields = 6;
constexpr size_t kBatchFields = 4;
constexpr size_t kMaxEntries = 4096;
constexpr size_t kMaxDepth = 3;  // Batch, entries, fields of an entry.

using packer = msgpack::packer<msgpack::sbuffer>;

void PackEntry(packer& out, const claim_entry& entry) {
  out.pack_array(kEntryFields);
  out.pack(static_cast<int>(entry.kind));
  const auto id_bytes = static_cast<uint32_t>(entry.key.id.size());
  out.pack_bin(id_bytes);
  out.pack_bin_body(reinterpret_cast<const char*>(entry.key.id.data()),
                    id_bytes);
  out.pack(entry.key.issued.count());
  out.pack(entry.sequence);
  out.pack(entry.status);
  out.pack(entry.read_position);
}

claim_entry UnpackEntry(const msgpack::object& object) {
  const auto fields = object.as<std::vector<msgpack::object>>();
  if (fields.size() != kEntryFields) {
    throw msgpack::type_error();
  }
  const int kind = fields[0].as<int>();
  const auto id = fields[1].as<std::vector<char>>();
  claim_entry entry;
  if (kind < 0 ||
      kind >= static_cast<int>(names_of<claim_kind>::kTable.size()) ||
      id.size() != entry.key.id.size()) {
    throw msgpack::type_error();
  }
  entry.kind = static_cast<claim_kind>(kind);
  std::copy(id.begin(), id.end(), entry.key.id.begin());
  entry.key.issued = millis(fields[2].as<int64_t>());
  entry.sequence = fields[3].as<uint64_t>();
  entry.status = fields[4].as<int>();
  entry.read_position = fields[5].as<uint64_t>();
  return entry;
}

// The limits are the largest sizes in a valid batch, so that a false length is
// rejected before anything is allocated for it.
claim_batch UnpackBatch(std::string_view body) {
  const msgpack::unpack_limit limit(kMaxEntries, 0, kFormat.size(),
                                    claim_entry{}.key.id.size(), 0, kMaxDepth);
  size_t consumed = 0;
  const msgpack::object_handle handle = msgpack::unpack(
      body.data(), body.size(), consumed, nullptr, nullptr, limit);
  if (consumed != body.size()) {
    throw msgpack::type_error();
  }
  const auto fields = handle.get().as<std::vector<msgpack::object>>();
  if (fields.size() != kBatchFields || fields[0].as<std::string>() != kFormat) {
    throw msgpack::type_error();
  }
  claim_batch batch;
  batch.writer = fields[1].as<uint64_t>();
  batch.number = fields[2].as<uint64_t>();
  const auto entries = fields[3].as<std::vector<msgpack::object>>();
  if (entries.size() > kMaxEntries) {
    throw msgpack::type_error();
  }
  for (const msgpack::object& entry : entries) {
    batch.entries.push_back(UnpackEntry(entry));
  }
  return batch;
}

}  // namespace

// Layout: checksum (8 bytes, little-endian) | msgpack [format, writer,
// number, entries].
std::string EncodeClaims(const claim_batch& batch) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kBatchFields);
  out.pack(std::string(kFormat));
  out.pack(batch.writer);
  out.pack(batch.number);
  out.pack_array(static_cast<uint32_t>(batch.entries.size()));
  for (const claim_entry& entry : batch.entries) {
    PackEntry(out, entry);
  }
  return PrependClaimChecksum({buffer.data(), buffer.size()});
}

std::string PrependClaimChecksum(std::string_view body) {
  uint64_t checksum = Hash64(body, kChecksumSeed);
  std::string record;
  for (size_t i = 0; i < sizeof(checksum); ++i) {
    record.push_back(static_cast<char>(checksum & 0xff));
    checksum >>= 8;
  }
  return record.append(body);
}

std::optional<claim_batch> DecodeClaims(std::string_view data) {
  uint64_t checksum = 0;
  if (data.size() < sizeof(checksum)) {
    return std::nullopt;
  }
  for (size_t i = sizeof(checksum); i > 0; --i) {
    checksum = checksum << 8 | static_cast<uint8_t>(data[i - 1]);
  }
  const std::string_view body = data.substr(sizeof(checksum));
  if (Hash64(body, kChecksumSeed) != checksum) {
    return std::nullopt;
  }
  try {
    return UnpackBatch(body);
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

}  // namespace peridotarch
