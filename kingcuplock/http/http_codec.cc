#include "kingcuplock/http/http_codec.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include <fmt/format.h>

namespace kingcuplock {
namespace {

auto ReasonPhrase(int status) -> std::string_view {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace

struct HttpReader::State {
  explicit State(HttpRole side) {
    http_parser_init(&parser,
                     side == HttpRole::kServer ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* it, const char* at, std::size_t n) {
      Of(it).current.target.append(at, n);
      return 0;
    };
    settings.on_header_field = [](http_parser* it, const char* at,
                                  std::size_t n) {
      Of(it).AppendHeaderName({at, n});
      return 0;
    };
    settings.on_header_value = [](http_parser* it, const char* at,
                                  std::size_t n) {
      Of(it).AppendHeaderValue({at, n});
      return 0;
    };
    settings.on_body = [](http_parser* it, const char* at, std::size_t n) {
      auto& body = Of(it).current.body;
      body.append(at, n);
      return body.size() > kMaxBodyBytes ? 1 : 0;
    };
    settings.on_message_complete = [](http_parser* it) {
      Of(it).Complete();
      return 0;
    };
  }

  static auto Of(http_parser* it) -> State& {
    return *static_cast<State*>(it->data);
  }

  // The parser reports a name or value in pieces if it spans several reads.
  auto AppendHeaderName(std::string_view piece) -> void {
    if (!std::exchange(in_header_name, true)) {
      current.headers.emplace_back();
    }
    current.headers.back().first += piece;
  }

  auto AppendHeaderValue(std::string_view piece) -> void {
    in_header_name = false;
    current.headers.back().second += piece;
  }

  auto Complete() -> void {
    in_header_name = false;
    if (parser.type == HTTP_REQUEST) {
      current.method = http_method_str(static_cast<http_method>(parser.method));
    } else {
      current.status = static_cast<int>(parser.status_code);
    }
    current.keep_alive = http_should_keep_alive(&parser) != 0;
    done.push_back(std::exchange(current, {}));
  }

  http_parser parser{};
  http_parser_settings settings{};
  HttpMessage current;
  /// Whether the last piece of a header belonged to its name.
  bool in_header_name = false;
  std::deque<HttpMessage> done;
};

auto FindHeader(const HttpMessage& message, std::string_view name)
    -> const std::string* {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) ==
           std::tolower(static_cast<unsigned char>(right));
  };
  const auto it = std::find_if(
      message.headers.begin(), message.headers.end(), [&](const auto& header) {
        return std::equal(header.first.begin(), header.first.end(),
                          name.begin(), name.end(), same);
      });
  return it == message.headers.end() ? nullptr : &it->second;
}

HttpReader::HttpReader(HttpRole side) : state_(std::make_unique<State>(side)) {}
HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader&&) noexcept = default;
auto HttpReader::operator=(HttpReader&&) noexcept -> HttpReader& = default;

auto HttpReader::Feed(std::string_view bytes) -> bool {
  const auto n = http_parser_execute(&state_->parser, &state_->settings,
                                     bytes.data(), bytes.size());
  return n == bytes.size() && state_->parser.upgrade == 0 &&
         HTTP_PARSER_ERRNO(&state_->parser) == HPE_OK;
}

auto HttpReader::Take() -> std::optional<HttpMessage> {
  if (state_->done.empty()) {
    return std::nullopt;
  }
  auto message = std::move(state_->done.front());
  state_->done.pop_front();
  return message;
}

auto FormatHttpRequest(std::string_view method,
                       std::string_view target,
                       std::string_view host,
                       std::span<const HttpHeader> headers,
                       std::string_view body) -> std::string {
  auto out =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, target, host);
  for (const auto& [name, value] : headers) {
    out += fmt::format("{}: {}\r\n", name, value);
  }
  if (!body.empty()) {
    out += "Content-Type: application/json\r\n";
  }
  if (!body.empty() || method == "POST") {
    out += fmt::format("Content-Length: {}\r\n", body.size());
  }
  out += "\r\n";
  out += body;
  return out;
}

auto FormatHttpResponse(int status,
                        std::string_view content_type,
                        std::string_view body,
                        std::span<const HttpHeader> headers) -> std::string {
  auto out = fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", status,
      ReasonPhrase(status), content_type, body.size());
  for (const auto& [name, value] : headers) {
    out += fmt::format("{}: {}\r\n", name, value);
  }
  out += "\r\n";
  out += body;
  return out;
}

auto PercentEncodeQuery(std::string_view text) -> std::string {
  std::string out;
  for (const auto it : text) {
    const auto byte = static_cast<unsigned char>(it);
    const auto plain = std::isalnum(byte) != 0 ||
                       std::string_view("-._~/").find(it) != text.npos;
    out += plain ? std::string(1, it) : fmt::format("%{:02X}", byte);
  }
  return out;
}

}  // namespace kingcuplock
