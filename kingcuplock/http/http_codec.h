#pragma once

/// HTTP/1.1 messages over a byte stream, parsed by http_parser.
///
/// Example:
///   HttpReader reader(HttpRole::kServer);
///   if (!reader.Feed(bytes)) { Close(); }
///   while (auto message = reader.Take()) { Answer(*message); }

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace kingcuplock {

/// A header line.
using HttpHeader = std::pair<std::string, std::string>;

/// A request, or a response, whole. Headers are not kept.
struct HttpMessage {
  /// Request method and target; empty for a response.
  std::string method;
  std::string target;
  /// Response status; 0 for a request.
  int status = 0;
  std::string body;
  /// Whether the connection may carry another message.
  bool keep_alive = true;
};

/// What a reader reads: requests on the server's side, responses on the
/// client's.
enum class HttpRole { kServer, kClient };

/// Not thread safe.
class HttpReader {
 public:
  /// Largest body in bytes: a configuration of the store, encoded.
  static constexpr std::size_t kMaxBodyBytes = 4U << 20U;

  explicit HttpReader(HttpRole side);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  auto operator=(HttpReader&&) noexcept -> HttpReader&;

  /// Takes bytes in. Returns false when they are not HTTP or a body is too
  /// large; the connection is of no use then.
  auto Feed(std::string_view bytes) -> bool;

  /// Returns the next whole message, if there is one.
  auto Take() -> std::optional<HttpMessage>;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Returns the bytes of a request.
auto FormatHttpRequest(std::string_view method,
                       std::string_view target,
                       std::string_view host,
                       std::span<const HttpHeader> headers,
                       std::string_view body) -> std::string;

/// Returns the bytes of a response.
auto FormatHttpResponse(int status,
                        std::string_view content_type,
                        std::string_view body) -> std::string;

/// Returns `text` with everything but letters, digits and "-._~/" encoded, for
/// use in a query.
auto PercentEncodeQuery(std::string_view text) -> std::string;

}  // namespace kingcuplock
