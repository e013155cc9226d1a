#pragma once

/// Reads and writes HTTP/1.1 messages. Reading parses a byte stream with
/// http_parser.
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
#include <vector>

namespace kingcuplock {

/// Name and value of a header line.
using HttpHeader = std::pair<std::string, std::string>;

/// A complete request or response that was read.
struct HttpMessage {
  /// Request method and target; empty for a response.
  std::string method;
  std::string target;
  /// Response status; 0 for a request.
  int status = 0;
  /// In order of arrival, names as sent.
  std::vector<HttpHeader> headers;
  std::string body;
  /// Whether the connection may be used for another message.
  bool keep_alive = true;
};

/// Returns the value of the first header named `name`, whose case does not
/// matter; nullptr if there is none. Valid as long as `message`.
auto FindHeader(const HttpMessage& message, std::string_view name)
    -> const std::string*;

/// Side of the connection that a reader is on. On the server's side it reads
/// requests, on the client's side responses.
enum class HttpRole { kServer, kClient };

/// Incremental parser of the messages on one connection. Not thread safe.
class HttpReader {
 public:
  /// Largest size in bytes of a body: that of an encoded configuration read
  /// from the key-value service.
  static constexpr std::size_t kMaxBodyBytes = 4U << 20U;

  explicit HttpReader(HttpRole side);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  auto operator=(HttpReader&&) noexcept -> HttpReader&;

  /// Parses the next bytes. Returns false if they are not valid HTTP, or a body
  /// exceeds kMaxBodyBytes; the connection must then be closed.
  auto Feed(std::string_view bytes) -> bool;

  /// Returns the next complete message, or nullopt if there is none yet.
  auto Take() -> std::optional<HttpMessage>;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Returns the bytes of a request. Adds the header Host, Content-Type (JSON) if
/// there is a body, and Content-Length if there is one or the method is POST.
auto FormatHttpRequest(std::string_view method,
                       std::string_view target,
                       std::string_view host,
                       std::span<const HttpHeader> headers,
                       std::string_view body) -> std::string;

/// Returns the bytes of a response with the headers Content-Type and
/// Content-Length, and `headers`.
auto FormatHttpResponse(int status,
                        std::string_view content_type,
                        std::string_view body,
                        std::span<const HttpHeader> headers = {})
    -> std::string;

/// Returns `text` for use in the query of a URL: every byte except letters,
/// digits and "-._~/" is percent-encoded.
auto PercentEncodeQuery(std::string_view text) -> std::string;

}  // namespace kingcuplock
