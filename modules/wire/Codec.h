#pragma once

#include "core/Error.h"
#include "core/Types.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <variant>

/** msgpack adaptors for the basic types and for std::variant, which is encoded as [index,
    value]. */
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  template<typename Tag>
  struct convert<figchute::StrongString<Tag>>
  {
    const msgpack::object& operator()(const msgpack::object& o,
                                      figchute::StrongString<Tag>& v) const
    {
      o.convert(v.value);
      return o;
    }
  };

  template<typename Tag>
  struct pack<figchute::StrongString<Tag>>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o,
                               const figchute::StrongString<Tag>& v) const
    {
      o.pack(v.value);
      return o;
    }
  };

  template<>
  struct convert<figchute::Tokens>
  {
    const msgpack::object& operator()(const msgpack::object& o, figchute::Tokens& v) const
    {
      o.convert(v.count);
      return o;
    }
  };

  template<>
  struct pack<figchute::Tokens>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const figchute::Tokens& v) const
    {
      o.pack(v.count);
      return o;
    }
  };

  template<>
  struct convert<figchute::Time>
  {
    const msgpack::object& operator()(const msgpack::object& o, figchute::Time& v) const
    {
      o.convert(v.micros);
      return o;
    }
  };

  template<>
  struct pack<figchute::Time>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const figchute::Time& v) const
    {
      o.pack(v.micros);
      return o;
    }
  };

  template<>
  struct convert<figchute::Incarnation>
  {
    const msgpack::object& operator()(const msgpack::object& o, figchute::Incarnation& v) const
    {
      o.convert(v.number);
      return o;
    }
  };

  template<>
  struct pack<figchute::Incarnation>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const figchute::Incarnation& v) const
    {
      o.pack(v.number);
      return o;
    }
  };

  template<>
  struct convert<figchute::HolderId>
  {
    const msgpack::object& operator()(const msgpack::object& o, figchute::HolderId& v) const
    {
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 2) {
        throw msgpack::type_error();
      }
      o.via.array.ptr[0].convert(v.process);
      o.via.array.ptr[1].convert(v.incarnation);
      return o;
    }
  };

  template<>
  struct pack<figchute::HolderId>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const figchute::HolderId& v) const
    {
      o.pack_array(2);
      o.pack(v.process);
      o.pack(v.incarnation);
      return o;
    }
  };

  template<typename... Ts>
  struct convert<std::variant<Ts...>>
  {
    const msgpack::object& operator()(const msgpack::object& o, std::variant<Ts...>& v) const
    {
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 2) {
        throw msgpack::type_error();
      }
      const auto index = o.via.array.ptr[0].as<std::size_t>();
      if (!convertAlternative(index, o.via.array.ptr[1], v, std::index_sequence_for<Ts...>{})) {
        throw msgpack::type_error();
      }
      return o;
    }

  private:
    template<std::size_t... Is>
    static bool convertAlternative(std::size_t index,
                                   const msgpack::object& value,
                                   std::variant<Ts...>& v,
                                   std::index_sequence<Is...> /*indices*/)
    {
      return ((index == Is ? (value.convert(v.template emplace<Is>()), true) : false) || ...);
    }
  };

  template<typename... Ts>
  struct pack<std::variant<Ts...>>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const std::variant<Ts...>& v) const
    {
      o.pack_array(2);
      o.pack(v.index());
      std::visit([&o](const auto& alternative) { o.pack(alternative); }, v);
      return o;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

MSGPACK_ADD_ENUM(figchute::Rank)
MSGPACK_ADD_ENUM(figchute::ErrorKind)

namespace figchute::wire {

/** Encodes a message struct with MSGPACK_DEFINE, or a variant of such structs.
    @returns the encoded bytes
    Thread safety: safe from any thread. */
template<typename T>
std::string encode(const T& message)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return { buffer.data(), buffer.size() };
}

/** Decodes a message.
    @param bytes  the bytes returned by encode()
    @returns the message, or an error of kind codec_error if the bytes cannot be decoded
    Thread safety: safe from any thread. */
template<typename T>
Expected<T> decode(std::string_view bytes)
{
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception& error) {
    return fail(ErrorKind::codecError, error.what());
  }
}

} // namespace figchute::wire
