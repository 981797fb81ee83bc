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

/** Maximum bytes of a chunk header or a trailer. */
inline constexpr std::size_t kMaxChunkHeaderBytes = 16U * 1024;

/** Finds the end of a message head in bytes that arrive in parts. */
class HeadScanner
{
public:
  enum class State
  {
    incomplete,
    complete,
    /** The bytes are not the start of a valid head. */
    malformed,
  };

  /** Scans a head.
      @param bytes      all bytes of the head received so far; the scan continues where the previous
                        call stopped
      @param isRequest  whether it is the head of a request or of a response */
  State scan(std::string_view bytes, bool isRequest);

  /** Returns the size of a complete head in bytes. */
  [[nodiscard]] std::size_t size() const { return lineStart_; }

  void reset() { lineStart_ = 0; }

private:
  /** Offset of the first line that is not yet complete. */
  std::size_t lineStart_ = 0;
};

/** Body framing and connection persistence, taken from the hop-by-hop fields of a head. */
struct Framing
{
  /** What is wrong with the head; empty when it is valid. */
  std::string error;
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool keepAlive = true;
  /** The timeout parameter of the Keep-Alive field. */
  std::optional<std::chrono::seconds> keepAliveTimeout;
};

/** Parses and removes the framing fields and all other hop-by-hop fields.
    @param fields   the fields of the head
    @param version  10 for HTTP/1.0, 11 for HTTP/1.1 */
Framing extractFraming(Fields& fields, unsigned version);

/** Reduces an absolute target to its path and query, and validates the target and the Host field.
    @returns what is wrong, or an empty string when the head is valid */
std::string validateRequest(RequestHead& head, unsigned version);

/** Returns whether a response with this status to a request with this method never has a body,
    regardless of its fields. */
bool hasNoBody(int status, std::string_view method);

/** Clears a string and frees its memory; neither clear() nor assigning an empty string frees it. */
inline void release(std::string& text)
{
  std::string().swap(text);
}

/** Returns an address as IP:port. */
std::string addressText(const boost::asio::ip::tcp::endpoint& address);

/** Framing and connection fields to add to a response head. */
struct BodyFraming
{
  std::optional<std::uint64_t> length;
  bool chunked = false;
  /** The value of the Connection field; empty to send none. */
  std::string_view connection;
};

/** Appends a request head in wire format.
    @param address  used as the Host field when the head has none */
void appendHead(std::string& out,
                const RequestHead& head,
                std::optional<std::uint64_t> length,
                const boost::asio::ip::tcp::endpoint& address);

/** Appends a response head in wire format. */
void appendHead(std::string& out, const ResponseHead& head, const BodyFraming& framing);

/** A Boost.Beast parser without streams. One call of put() consumes a whole head or at most one
    part of the body; that part is not copied and stays in the caller's buffer.
    @tparam isRequest  true to parse requests, false to parse responses */
template<bool isRequest>
class MessageParser final : public boost::beast::http::basic_parser<isRequest>
{
public:
  using Head = std::conditional_t<isRequest, RequestHead, ResponseHead>;
  using Error = boost::beast::error_code;

  MessageParser()
  {
    this->eager(false);
    // The callers limit the sizes. Boost 1.74 would treat an unset limit as 0.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  Head head;

  /** Parses bytes.
      @param bytes  the bytes not yet parsed
      @param used   is set to the number of bytes consumed
      @returns whether the bytes are well-formed so far */
  bool parse(std::string_view bytes, std::size_t& used)
  {
    Error error;
    bodyPart_ = {};
    used = this->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    return !error || error == boost::beast::http::error::need_more;
  }

  /** Returns the part of the body that the last parse() call read. */
  [[nodiscard]] std::string_view bodyPart() const { return bodyPart_; }

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
    // Trailer fields are ignored.
    if (!this->is_header_done())
      head.fields.add(text(name), text(value));
  }

  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}

  std::size_t on_body_impl(View body, Error&) override { return recordBodyPart(body); }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override
  {
    return recordBodyPart(body);
  }
  void on_finish_impl(Error&) override {}

  std::size_t recordBodyPart(View body)
  {
    bodyPart_ = { body.data(), body.size() };
    return body.size();
  }

  std::string_view bodyPart_;
  unsigned version_ = 11;
};

} // namespace figchute::http::detail
