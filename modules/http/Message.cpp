#include "http/Message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <fmt/format.h>

namespace figchute::http::detail {

namespace {

/** Hop-by-hop fields, and Content-Length, which is derived again from the body. */
constexpr std::array<std::string_view, 10> kHopByHopFields = {
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

bool isHopByHopField(std::string_view name)
{
  return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), [&](std::string_view known) {
    return equalsIgnoreCase(name, known);
  });
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

/** Returns whether a line, given without its line ending, is a valid line of a head. A start line
    is only checked for control characters here; the parser checks the rest of it. */
bool isValidHeadLine(std::string_view line, bool isStartLine)
{
  if (std::any_of(line.begin(), line.end(), isControl))
    return false;
  if (isStartLine)
    return true;
  const auto colon = line.find(':');
  // Rejects an empty name, a space before the colon and a folded line.
  return colon != std::string_view::npos && colon > 0 &&
         std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isTokenChar);
}

bool hasValidStart(std::string_view bytes, bool isRequest)
{
  if (isRequest)
    return isTokenChar(bytes.front());
  constexpr std::string_view kStart = "HTTP/";
  const auto size = std::min(bytes.size(), kStart.size());
  return bytes.substr(0, size) == kStart.substr(0, size);
}

bool isValidHost(std::string_view host)
{
  return std::all_of(host.begin(), host.end(), [](char c) {
    return isTokenChar(c) || std::string_view("[]:()=;").find(c) != std::string_view::npos;
  });
}

/** Appends text with control characters replaced by spaces, so that it cannot add lines to the
    head. */
void appendSanitized(std::string& out, std::string_view text)
{
  const auto start = out.size();
  out.append(text);
  std::replace_if(out.begin() + static_cast<std::ptrdiff_t>(start), out.end(), isControl, ' ');
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
  appendSanitized(out, name);
  out.append(": ");
  appendSanitized(out, value);
  out.append("\r\n");
}

void appendFields(std::string& out, const Fields& fields)
{
  for (const auto& field : fields)
    if (!isHopByHopField(field.name))
      appendField(out, field.name, field.value);
}

} // namespace

HeadScanner::State HeadScanner::scan(std::string_view bytes, bool isRequest)
{
  if (bytes.empty())
    return State::incomplete;
  if (lineStart_ == 0 && !hasValidStart(bytes, isRequest))
    return State::malformed;
  while (true) {
    const auto end = bytes.find('\n', lineStart_);
    if (end == std::string_view::npos)
      return State::incomplete;
    if (end == lineStart_ || bytes[end - 1] != '\r')
      return State::malformed;
    const auto line = bytes.substr(lineStart_, end - 1 - lineStart_);
    const bool isStartLine = lineStart_ == 0;
    lineStart_ = end + 1;
    if (line.empty())
      return isStartLine ? State::malformed : State::complete;
    if (!isValidHeadLine(line, isStartLine))
      return State::malformed;
  }
}

Framing extractFraming(Fields& fields, unsigned version)
{
  Framing framing;
  framing.keepAlive = version >= 11;
  std::size_t lengthCount = 0;
  std::size_t encodingCount = 0;
  std::vector<std::string> connectionOptions;
  for (const auto& [name, value] : fields) {
    if (equalsIgnoreCase(name, "content-length")) {
      ++lengthCount;
      framing.length = parseNumber(value);
      if (!framing.length)
        framing.error = "malformed Content-Length";
    } else if (equalsIgnoreCase(name, "transfer-encoding")) {
      ++encodingCount;
      framing.chunked = equalsIgnoreCase(trimmed(value), "chunked");
      if (!framing.chunked)
        framing.error = "unknown Transfer-Encoding";
    } else if (equalsIgnoreCase(name, "connection")) {
      forEachElement(value,
                     [&](std::string_view element) { connectionOptions.emplace_back(element); });
    } else if (equalsIgnoreCase(name, "keep-alive")) {
      framing.keepAliveTimeout = parseTimeout(value);
    }
  }
  if (lengthCount > 1)
    framing.error = "repeated Content-Length";
  if (encodingCount > 1)
    framing.error = "repeated Transfer-Encoding";
  if (lengthCount > 0 && encodingCount > 0)
    framing.error = "both Content-Length and Transfer-Encoding";
  if (encodingCount > 0 && version < 11)
    framing.error = "Transfer-Encoding in HTTP/1.0";
  for (const auto& name : connectionOptions) {
    if (equalsIgnoreCase(name, "keep-alive"))
      framing.keepAlive = true;
  }
  for (const auto& name : connectionOptions) {
    if (equalsIgnoreCase(name, "close"))
      framing.keepAlive = false;
  }
  fields.removeIf([&](const Field& field) {
    if (isHopByHopField(field.name))
      return true;
    // Routing depends on Host, so a caller must not remove it by naming it in Connection.
    return !equalsIgnoreCase(field.name, "host") &&
           std::any_of(connectionOptions.begin(),
                       connectionOptions.end(),
                       [&](const std::string& name) { return equalsIgnoreCase(name, field.name); });
  });
  return framing;
}

std::string validateRequest(RequestHead& head, unsigned version)
{
  const auto hosts = head.fields.count("host");
  if (hosts > 1)
    return "repeated Host";
  if (hosts == 0 && version >= 11)
    return "missing Host";
  constexpr std::string_view kScheme = "http://";
  if (equalsIgnoreCase(std::string_view(head.target).substr(0, kScheme.size()), kScheme)) {
    // The authority of an absolute target overrides the Host field (RFC 7230, section 5.4).
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
  if (!isValidHost(head.fields.get("host")))
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
  appendSanitized(out, head.method);
  out.push_back(' ');
  appendSanitized(out, head.target);
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
    appendSanitized(out, head.reason);
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
