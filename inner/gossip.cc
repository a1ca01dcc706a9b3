#include "inner/gossip.h"

#include <msgpack.hpp>
#include <type_traits>

#include "core/error.h"
#include "core/hash.h"

namespace peridotarch {

namespace {

// The order of the fields on the wire; each record is one array.

auto Wire(member_record& r) {
  return msgpack::type::make_define_array(r.id, r.incarnation, r.version,
                                          r.address, r.port, r.zone, r.state,
                                          r.doubts, r.revision, r.digest);
}

auto Wire(revision_note& r) {
  return msgpack::type::make_define_array(r.node, r.revision);
}

auto Wire(leaving_note& r) {
  return msgpack::type::make_define_array(r.service, r.instance, r.incarnation);
}

auto Wire(opinion_note& r) {
  return msgpack::type::make_define_array(r.service, r.instance, r.incarnation,
                                          r.address, r.port, r.reached,
                                          r.latency);
}

auto Wire(hybrid_time& r) {
  return msgpack::type::make_define_array(r.wall, r.counter);
}

auto Wire(gossip_message& r) {
  return msgpack::type::make_define_array(
      r.kind, r.at, r.sender, r.number, r.target, r.target_address,
      r.target_port, r.members, r.revisions, r.leaving, r.buckets, r.opinions);
}

template <typename... Fields>
constexpr size_t Count(const msgpack::type::define_array<Fields...>&) {
  return sizeof...(Fields);
}

template <typename T>
concept wire_record = requires(T value) {
  Wire(value);
};

template <typename T>
concept wire_enum = std::is_enum_v<T> && requires {
  names_of<T>::kTable;
};

// A value without a name would index past the tables, so it is refused here.
template <wire_enum T>
T ToEnum(const msgpack::object& object) {
  const auto value = object.as<uint8_t>();
  if (value >= names_of<T>::kTable.size()) {
    throw msgpack::type_error();
  }
  return static_cast<T>(value);
}

}  // namespace

}  // namespace peridotarch

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <peridotarch::wire_record T>
  struct convert<T> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      T& value) const {
      auto fields = peridotarch::Wire(value);
      if (object.type != msgpack::type::ARRAY ||
          object.via.array.size != peridotarch::Count(fields)) {
        throw msgpack::type_error();
      }
      fields.msgpack_unpack(object);
      return object;
    }
  };

  template <peridotarch::wire_record T>
  struct pack<T> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        const T& value) const {
      peridotarch::Wire(const_cast<T&>(value)).msgpack_pack(packer);
      return packer;
    }
  };

  template <peridotarch::wire_enum T>
  struct convert<T> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      T& value) const {
      value = peridotarch::ToEnum<T>(object);
      return object;
    }
  };

  template <peridotarch::wire_enum T>
  struct pack<T> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        const T& value) const {
      return packer.pack_uint8(static_cast<uint8_t>(value));
    }
  };

  template <>
  struct convert<peridotarch::millis> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      peridotarch::millis& value) const {
      value = peridotarch::millis(object.as<int64_t>());
      return object;
    }
  };

  template <>
  struct pack<peridotarch::millis> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(
        msgpack::packer<Stream>& packer,
        const peridotarch::millis& value) const {
      return packer.pack_int64(value.count());
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace peridotarch {

namespace {

constexpr size_t kMaxDepth = 4;  ///< Of nested arrays.

}  // namespace

uint32_t ShortHash(std::string_view id) {
  return static_cast<uint32_t>(Hash64(id));
}

std::string Encode(const gossip_message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

// No array or string has more elements than the message has bytes, so a lying
// length allocates nothing large.
gossip_message DecodeGossip(std::string_view bytes) {
  try {
    size_t offset = 0;
    const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), 0, 0,
                                      kMaxDepth);
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      throw codec_error("gossip: bytes after the message");
    }
    return handle.get().as<gossip_message>();
  } catch (const msgpack::type_error&) {
    throw codec_error("gossip: a field has another type");
  } catch (const msgpack::unpack_error&) {
    throw codec_error("gossip: not MessagePack");
  }
}

}  // namespace peridotarch
