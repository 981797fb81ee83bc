#include "http/Message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <fmt/format.h>

namespace figchute::http::detail {

namespace {

/** The fields that concern one connection only. */
constexpr std::array<std::string_view, 10> kConnectionFields = {
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
};

bool isConnectionField(std::string_view name)
{
  return std::any_of(kConnectionFields.begin(),
                     kConnectionFields.end(),
                     [&](std::string_view known) { return equalsIgnoreCase(name, known); });
}

bool isTokenChar(char c)
{
  const bool alphanumeric =
    (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
  return alphanumeric ||
         (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

bool isControl(char c)
{
  const auto code = static_cast<unsigned char>(c);
  return (code < 0x20 && c != '\t') || code == 0x7f;
}

std::string_view trimmed(std::string_view text)
{
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Calls @p visit with each element of a comma-separated list. */
template<typename Visit>
void forEachElement(std::string_view list, Visit visit)
{
  while (!list.empty()) {
    const auto comma = list.find(',');
    const auto element = trimmed(list.substr(0, comma));
    if (!element.empty())
      visit(element);
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  }
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

std::optional<std::chrono::seconds> parseTimeout(std::string_view value)
{
  std::optional<std::chrono::seconds> timeout;
  forEachElement(value, [&](std::string_view element) {
    const auto equals = element.find('=');
    if (equals == std::string_view::npos ||
        !equalsIgnoreCase(trimmed(element.substr(0, equals)), "timeout"))
      return;
    if (const auto number = parseNumber(trimmed(element.substr(equals + 1))))
      timeout = std::chrono::seconds(std::min<std::uint64_t>(*number, 3600));
  });
  return timeout;
}

/** Returns whether a line without its line end is a good field line. The start line is checked by
    the parser, control characters aside. */
bool isGoodLine(std::string_view line, bool isStartLine)
{
  if (std::any_of(line.begin(), line.end(), isControl))
    return false;
  if (isStartLine)
    return true;
  const auto colon = line.find(':');
  // An empty name, a space before the colon and a folded line all fail here.
  return colon != std::string_view::npos && colon > 0 &&
         std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isTokenChar);
}

bool startsLikeHead(std::string_view bytes, bool isRequest)
{
  if (isRequest)
    return isTokenChar(bytes.front());
  constexpr std::string_view kStart = "HTTP/";
  const auto size = std::min(bytes.size(), kStart.size());
  return bytes.substr(0, size) == kStart.substr(0, size);
}

bool isGoodHost(std::string_view host)
{
  return std::all_of(host.begin(), host.end(), [](char c) {
    return isTokenChar(c) || std::string_view("[]:()=;").find(c) != std::string_view::npos;
  });
}

/** Appends text without the characters that would end a line of the head. */
void appendText(std::string& out, std::string_view text)
{
  const auto start = out.size();
  out.append(text);
  std::replace_if(out.begin() + static_cast<std::ptrdiff_t>(start), out.end(), isControl, ' ');
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
  appendText(out, name);
  out.append(": ");
  appendText(out, value);
  out.append("\r\n");
}

void appendFields(std::string& out, const Fields& fields)
{
  for (const auto& field : fields)
    if (!isConnectionField(field.name))
      appendField(out, field.name, field.value);
}

} // namespace

HeadScanner::State HeadScanner::scan(std::string_view bytes, bool isRequest)
{
  if (bytes.empty())
    return State::incomplete;
  if (line_ == 0 && !startsLikeHead(bytes, isRequest))
    return State::malformed;
  while (true) {
    const auto end = bytes.find('\n', line_);
    if (end == std::string_view::npos)
      return State::incomplete;
    if (end == line_ || bytes[end - 1] != '\r')
      return State::malformed;
    const auto line = bytes.substr(line_, end - 1 - line_);
    const bool isStartLine = line_ == 0;
    line_ = end + 1;
    if (line.empty())
      return isStartLine ? State::malformed : State::complete;
    if (!isGoodLine(line, isStartLine))
      return State::malformed;
  }
}

Framing takeFraming(Fields& fields, unsigned version)
{
  Framing framing;
  framing.keepAlive = version >= 11;
  std::size_t lengths = 0;
  std::size_t encodings = 0;
  std::vector<std::string> named;
  for (const auto& [name, value] : fields) {
    if (equalsIgnoreCase(name, "content-length")) {
      ++lengths;
      framing.length = parseNumber(value);
      if (!framing.length)
        framing.fault = "malformed Content-Length";
    } else if (equalsIgnoreCase(name, "transfer-encoding")) {
      ++encodings;
      framing.chunked = equalsIgnoreCase(trimmed(value), "chunked");
      if (!framing.chunked)
        framing.fault = "unknown Transfer-Encoding";
    } else if (equalsIgnoreCase(name, "connection")) {
      forEachElement(value, [&](std::string_view element) { named.emplace_back(element); });
    } else if (equalsIgnoreCase(name, "keep-alive")) {
      framing.keepAliveTimeout = parseTimeout(value);
    }
  }
  if (lengths > 1)
    framing.fault = "repeated Content-Length";
  if (encodings > 1)
    framing.fault = "repeated Transfer-Encoding";
  if (lengths > 0 && encodings > 0)
    framing.fault = "both Content-Length and Transfer-Encoding";
  if (encodings > 0 && version < 11)
    framing.fault = "Transfer-Encoding in HTTP/1.0";
  for (const auto& name : named) {
    if (equalsIgnoreCase(name, "keep-alive"))
      framing.keepAlive = true;
  }
  for (const auto& name : named) {
    if (equalsIgnoreCase(name, "close"))
      framing.keepAlive = false;
  }
  fields.removeIf([&](const Field& field) {
    if (isConnectionField(field.name))
      return true;
    // A caller must not have the fields removed that routing depends on.
    return !equalsIgnoreCase(field.name, "host") &&
           std::any_of(named.begin(), named.end(), [&](const std::string& name) {
             return equalsIgnoreCase(name, field.name);
           });
  });
  return framing;
}

std::string checkRequest(RequestHead& head, unsigned version)
{
  const auto hosts = head.fields.count("host");
  if (hosts > 1)
    return "repeated Host";
  if (hosts == 0 && version >= 11)
    return "missing Host";
  constexpr std::string_view kScheme = "http://";
  if (equalsIgnoreCase(std::string_view(head.target).substr(0, kScheme.size()), kScheme)) {
    // The authority of an absolute target replaces Host (RFC 7230, section 5.4).
    const auto path = head.target.find_first_of("/?", kScheme.size());
    auto host = head.target.substr(kScheme.size(), path - kScheme.size());
    auto target = path == std::string::npos ? std::string("/") : head.target.substr(path);
    if (target.front() == '?')
      target.insert(0, 1, '/');
    if (host.empty())
      return "malformed target";
    head.fields.set("Host", std::move(host));
    head.target = std::move(target);
  }
  if (!isGoodHost(head.fields.get("host")))
    return "malformed Host";
  if (head.target.front() != '/' && !(head.target == "*" && head.method == "OPTIONS"))
    return "malformed target";
  return {};
}

std::string addressText(const boost::asio::ip::tcp::endpoint& address)
{
  const auto ip = address.address();
  return ip.is_v6() ? fmt::format("[{}]:{}", ip.to_string(), address.port())
                    : fmt::format("{}:{}", ip.to_string(), address.port());
}

bool hasNoBody(int status, std::string_view method)
{
  return method == "HEAD" || status / 100 == 1 || status == 204 || status == 304;
}

void appendHead(std::string& out,
                const RequestHead& head,
                std::optional<std::uint64_t> length,
                const boost::asio::ip::tcp::endpoint& address)
{
  appendText(out, head.method);
  out.push_back(' ');
  appendText(out, head.target);
  out.append(" HTTP/1.1\r\n");
  if (!head.fields.find("host"))
    appendField(out, "Host", addressText(address));
  appendFields(out, head.fields);
  if (length)
    appendField(out, "Content-Length", std::to_string(*length));
  out.append("\r\n");
}

void appendHead(std::string& out, const ResponseHead& head, const BodyFraming& framing)
{
  out.append("HTTP/1.1 ");
  out.append(std::to_string(head.status));
  out.push_back(' ');
  if (!head.reason.empty()) {
    appendText(out, head.reason);
  } else {
    const auto status = boost::beast::http::int_to_status(static_cast<unsigned>(head.status));
    const auto reason = boost::beast::http::obsolete_reason(status);
    out.append(reason.data(), reason.size());
  }
  out.append("\r\n");
  appendFields(out, head.fields);
  if (framing.length)
    appendField(out, "Content-Length", std::to_string(*framing.length));
  if (framing.chunked)
    appendField(out, "Transfer-Encoding", "chunked");
  if (!framing.connection.empty())
    appendField(out, "Connection", framing.connection);
  out.append("\r\n");
}

} // namespace figchute::http::detail
