#pragma once

#include "core/core.h"
#include "http/Head.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace figchute::http::detail {

/** Most bytes of a chunk header or a trailer. */
inline constexpr std::size_t kMaxChunkHeader = 16U * 1024;

/** Finds the end of a head in bytes that arrive piece by piece. */
class HeadScanner
{
public:
  enum class State
  {
    incomplete,
    complete,
    /** The bytes can't become a head. */
    malformed,
  };

  /** Scans a head.
      @param bytes      all bytes of the head so far; a call continues where the last one stopped
      @param isRequest  what kind of head it is */
  State scan(std::string_view bytes, bool isRequest);

  /** Returns the size of a complete head. */
  [[nodiscard]] std::size_t size() const { return line_; }

  void reset() { line_ = 0; }

private:
  /** Where the first line that is not yet complete starts. */
  std::size_t line_ = 0;
};

/** What the removed fields of a head say. */
struct Framing
{
  /** Empty when the head is good, else what is wrong with it. */
  std::string fault;
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool keepAlive = true;
  /** From Keep-Alive: timeout. */
  std::optional<std::chrono::seconds> keepAliveTimeout;
};

/** Reads and removes the fields that frame the body or concern one connection.
    @param fields   the fields of the head
    @param version  10 or 11 */
Framing takeFraming(Fields& fields, unsigned version);

/** Normalises the target to a path, and checks it and the Host field.
    @returns an empty text, or what is wrong */
std::string checkRequest(RequestHead& head, unsigned version);

/** Returns whether a response to such a request has no body whatever its fields say. */
bool hasNoBody(int status, std::string_view method);

/** Empties a text and frees its memory, which neither clear() nor assigning an empty text does. */
inline void release(std::string& text)
{
  std::string().swap(text);
}

/** Returns an address as IP:port. */
std::string addressText(const boost::asio::ip::tcp::endpoint& address);

/** How a written body ends. */
struct BodyFraming
{
  std::optional<std::uint64_t> length;
  bool chunked = false;
  /** The value of the Connection field; empty for none. */
  std::string_view connection;
};

/** Appends a request head in the format of the wire.
    @param address  the Host field when the head has none */
void appendHead(std::string& out,
                const RequestHead& head,
                std::optional<std::uint64_t> length,
                const boost::asio::ip::tcp::endpoint& address);

/** Appends a response head in the format of the wire. */
void appendHead(std::string& out, const ResponseHead& head, const BodyFraming& framing);

/** A parser of Boost.Beast that is fed by hand. A call of put() takes a whole head or at most one
    piece of the body, which stays in the buffer of the caller.
    @tparam isRequest  whether it reads requests or responses */
template<bool isRequest>
class MessageParser final : public boost::beast::http::basic_parser<isRequest>
{
public:
  using Head = std::conditional_t<isRequest, RequestHead, ResponseHead>;
  using Error = boost::beast::error_code;

  MessageParser()
  {
    this->eager(false);
    // The users of this class bound the sizes. An unset limit would be taken as 0 by Boost 1.74.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  Head head;

  /** Parses bytes.
      @param bytes  the unread bytes
      @param used   is set to how many were read
      @returns whether the bytes are well-formed so far */
  bool take(std::string_view bytes, std::size_t& used)
  {
    Error error;
    piece_ = {};
    used = this->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    return !error || error == boost::beast::http::error::need_more;
  }

  /** Returns the piece of the body that the last take() read. */
  [[nodiscard]] std::string_view piece() const { return piece_; }

  [[nodiscard]] unsigned httpVersion() const { return version_; }

private:
  using View = boost::beast::string_view;
  using Verb = boost::beast::http::verb;
  using Name = boost::beast::http::field;

  static std::string text(View view) { return { view.data(), view.size() }; }

  void on_request_impl(Verb, View method, View target, int version, Error&) override
  {
    if constexpr (isRequest) {
      head.method = text(method);
      head.target = text(target);
    }
    version_ = static_cast<unsigned>(version);
  }

  void on_response_impl(int status, View reason, int version, Error&) override
  {
    if constexpr (!isRequest) {
      head.status = status;
      head.reason = text(reason);
    }
    version_ = static_cast<unsigned>(version);
  }

  void on_field_impl(Name, View name, View value, Error&) override
  {
    // Fields of a trailer are dropped.
    if (!this->is_header_done())
      head.fields.add(text(name), text(value));
  }

  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}

  std::size_t on_body_impl(View body, Error&) override { return record(body); }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override { return record(body); }
  void on_finish_impl(Error&) override {}

  std::size_t record(View body)
  {
    piece_ = { body.data(), body.size() };
    return body.size();
  }

  std::string_view piece_;
  unsigned version_ = 11;
};

} // namespace figchute::http::detail
