#include "config/record.h"

#include <algorithm>
#include <msgpack.hpp>
#include <utility>

#include "config/parse.h"
#include "core/compression.h"
#include "core/error.h"

namespace peridotarch {

namespace {

// Layout in bytes: magic (4), length of the rest (4, little-endian),
// HMAC-SHA-256 of the compressed payload (32), compressed payload. The payload
// is one byte for the kind, followed by the fields as a MessagePack array.
constexpr std::string_view kMagic = "pcr1";
constexpr size_t kLengthBytes = 4;
constexpr size_t kDigestBytes = 32;
constexpr size_t kHeaderBytes = kMagic.size() + kLengthBytes + kDigestBytes;
constexpr size_t kMaxPayloadBytes = kMaxTextBytes + kMaxRecordBytes;
constexpr size_t kMaxArrayItems = size_t{1} << 20;  // Lines or edits.
constexpr int kCompressionLevel = 6;                // zstd level.
constexpr uint64_t kNoOffset = UINT64_MAX;          // Encodes a missing offset.

enum class record_kind : char { kPublish = 1, kSnapshot, kBundle };

struct wire_edit {
  uint32_t first_line = 0;
  uint32_t removed = 0;
  std::vector<std::string> added;
  MSGPACK_DEFINE(first_line, removed, added);
};

struct wire_publish {
  std::string id;
  uint64_t base_number = 0;
  std::string base_chain;
  uint64_t end_offset = 0;
  uint64_t last_hash = 0;
  uint64_t last_snapshot = kNoOffset;
  std::string text_digest;
  std::vector<wire_edit> edits;
  std::string author;
  int64_t published_at = 0;
  MSGPACK_DEFINE(id, base_number, base_chain, end_offset, last_hash,
                 last_snapshot, text_digest, edits, author, published_at);
};

struct wire_snapshot {
  uint64_t number = 0;
  std::string chain;
  bool is_head = false;
  uint64_t end_offset = 0;
  uint64_t last_hash = 0;
  uint64_t last_snapshot = kNoOffset;
  std::string author;
  int64_t published_at = 0;
  std::string text;
  MSGPACK_DEFINE(number, chain, is_head, end_offset, last_hash, last_snapshot,
                 author, published_at, text);
};

struct wire_bundle {
  std::vector<std::string> records;
  MSGPACK_DEFINE(records);
};

template <size_t kSize>
std::string AsString(const std::array<uint8_t, kSize>& bytes) {
  return {bytes.begin(), bytes.end()};
}

template <size_t kSize>
void CopyFixed(std::array<uint8_t, kSize>& to, const std::string& from) {
  if (from.size() != kSize) {
    throw codec_error("a fixed-length field has the wrong length");
  }
  std::ranges::copy(from, to.begin());
}

template <typename Wire>
std::string Pack(record_kind kind, const Wire& wire) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  std::string payload(1, static_cast<char>(kind));
  payload.append(buffer.data(), buffer.size());
  return payload;
}

template <typename Wire>
Wire Unpack(std::string_view fields) {
  const msgpack::unpack_limit limit(kMaxArrayItems, 0, kMaxPayloadBytes,
                                    kMaxPayloadBytes, 0, 8);
  size_t bytes_read = 0;
  const msgpack::object_handle handle = msgpack::unpack(
      fields.data(), fields.size(), bytes_read, nullptr, nullptr, limit);
  if (bytes_read != fields.size()) {
    throw codec_error("trailing bytes after the fields of a record");
  }
  return handle->as<Wire>();
}

template <typename Wire>
log_position ToPosition(const Wire& wire) {
  log_position position{wire.end_offset, wire.last_hash, std::nullopt};
  if (wire.last_snapshot != kNoOffset) {
    position.last_snapshot = wire.last_snapshot;
  }
  return position;
}

std::string ToPayload(const publish_record& record) {
  wire_publish wire;
  wire.id = AsString(record.id);
  wire.base_number = record.base.number;
  wire.base_chain = AsString(record.base.chain);
  wire.end_offset = record.position.end_offset;
  wire.last_hash = record.position.last_hash;
  wire.last_snapshot = record.position.last_snapshot.value_or(kNoOffset);
  wire.text_digest = AsString(record.text_digest);
  for (const line_edit& edit : record.edits) {
    wire.edits.push_back({edit.first_line, edit.removed, edit.added});
  }
  wire.author = record.author;
  wire.published_at = record.published_at.count();
  return Pack(record_kind::kPublish, wire);
}

std::string ToPayload(const snapshot_record& record) {
  return Pack(
      record_kind::kSnapshot,
      wire_snapshot{record.id.number, AsString(record.id.chain), record.is_head,
                    record.position.end_offset, record.position.last_hash,
                    record.position.last_snapshot.value_or(kNoOffset),
                    record.author, record.published_at.count(), record.text});
}

std::string ToPayload(const fetch_answer& record) {
  return Pack(record_kind::kBundle, wire_bundle{record.records});
}

std::string ToPayload(const std::monostate& /*record*/) {
  throw codec_error("an empty record cannot be encoded");
}

publish_record ToPublish(std::string_view payload) {
  auto wire = Unpack<wire_publish>(payload.substr(1));
  publish_record record;
  CopyFixed(record.id, wire.id);
  record.base.number = wire.base_number;
  CopyFixed(record.base.chain, wire.base_chain);
  record.position = ToPosition(wire);
  CopyFixed(record.text_digest, wire.text_digest);
  for (wire_edit& edit : wire.edits) {
    record.edits.push_back(
        {edit.first_line, edit.removed, std::move(edit.added)});
  }
  record.author = std::move(wire.author);
  record.published_at = millis(wire.published_at);
  record.new_chain = Sha256(payload);
  return record;
}

snapshot_record ToSnapshot(std::string_view payload) {
  auto wire = Unpack<wire_snapshot>(payload.substr(1));
  snapshot_record record;
  record.id.number = wire.number;
  CopyFixed(record.id.chain, wire.chain);
  record.is_head = wire.is_head;
  record.position = ToPosition(wire);
  record.author = std::move(wire.author);
  record.published_at = millis(wire.published_at);
  record.text = std::move(wire.text);
  return record;
}

config_record FromPayload(std::string_view payload) {
  if (payload.empty()) {
    throw codec_error("the payload of a record is empty");
  }
  switch (static_cast<record_kind>(payload.front())) {
    case record_kind::kPublish:
      return ToPublish(payload);
    case record_kind::kSnapshot:
      return ToSnapshot(payload);
    case record_kind::kBundle:
      return fetch_answer{Unpack<wire_bundle>(payload.substr(1)).records};
  }
  throw codec_error("a record has an unknown kind");
}

}  // namespace

std::string EncodeRecord(const config_record& record,
                         std::string_view fleet_key) {
  const std::string compressed = Compress(
      std::visit([](const auto& value) { return ToPayload(value); }, record),
      kCompressionLevel);
  const digest signature = HmacSha256(fleet_key, compressed);
  std::string bytes(kMagic);
  const size_t rest = kDigestBytes + compressed.size();
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<char>((rest >> (8 * i)) & 0xff));
  }
  bytes.append(signature.begin(), signature.end());
  bytes += compressed;
  if (bytes.size() > kMaxRecordBytes) {
    throw codec_error("a record of " + std::to_string(bytes.size()) +
                      " bytes; allowed: up to " +
                      std::to_string(kMaxRecordBytes));
  }
  return bytes;
}

decoded_record DecodeRecord(std::string_view bytes,
                            std::string_view fleet_key) {
  if (bytes.size() > kMaxRecordBytes) {
    return {apply_outcome::kVoidOversize, {}};
  }
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
    return {apply_outcome::kVoidTorn, {}};
  }
  size_t rest = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    rest |= size_t{static_cast<uint8_t>(bytes[kMagic.size() + i])} << (8 * i);
  }
  if (rest != bytes.size() - kMagic.size() - kLengthBytes) {
    return {apply_outcome::kVoidTorn, {}};
  }
  const std::string_view compressed = bytes.substr(kHeaderBytes);
  digest claimed;
  std::ranges::copy(bytes.substr(kHeaderBytes - kDigestBytes, kDigestBytes),
                    claimed.begin());
  if (!EqualInConstantTime(claimed, HmacSha256(fleet_key, compressed))) {
    return {apply_outcome::kVoidForged, {}};
  }
  try {
    return {apply_outcome::kAccepted,
            FromPayload(Decompress(compressed, kMaxPayloadBytes))};
  } catch (const std::exception&) {  // msgpack throws types of its own.
    return {apply_outcome::kVoidTorn, {}};
  }
}

snapshot_record ToSnapshotRecord(const revision& from, bool is_head,
                                 log_position position) {
  return {from.id,     is_head,           position,
          from.author, from.published_at, from.snapshot->text};
}

revision FromSnapshotRecord(const snapshot_record& record) {
  return {record.id, record.author, record.published_at,
          MakeSnapshot(record.id.number, record.text)};
}

revision ApplyPublish(const revision& base, const publish_record& record,
                      apply_outcome* fault) {
  *fault = apply_outcome::kVoidBadDigest;
  std::string text = ApplyEdits(base.snapshot->text, record.edits);
  if (Sha256(text) != record.text_digest) {
    throw codec_error("the text of a record does not match its digest");
  }
  *fault = apply_outcome::kVoidBadRules;
  const uint64_t number = base.id.number + 1;
  return {{number, record.new_chain},
          record.author,
          record.published_at,
          MakeSnapshot(number, std::move(text))};
}

}  // namespace peridotarch
