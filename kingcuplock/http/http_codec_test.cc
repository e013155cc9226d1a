#include "kingcuplock/http/http_codec.h"

#include <doctest/doctest.h>

namespace kingcuplock {
namespace {

TEST_CASE("Headers are read whole, however the bytes arrive") {
  const std::string response =
      "HTTP/1.1 200 OK\r\nStore-Era: 12\r\nContent-Length: 2\r\n\r\n{}";
  for (std::size_t piece = 1; piece <= response.size(); ++piece) {
    CAPTURE(piece);
    HttpReader reader(HttpRole::kClient);
    for (std::size_t n = 0; n < response.size(); n += piece) {
      REQUIRE(reader.Feed(std::string_view(response).substr(n, piece)));
    }
    const auto message = reader.Take();
    REQUIRE(message);
    const auto* era = FindHeader(*message, "store-era");
    REQUIRE(era != nullptr);
    CHECK(*era == "12");
    CHECK(FindHeader(*message, "Store") == nullptr);
    CHECK(message->body == "{}");
  }
}

TEST_CASE("Each message on a connection has its own headers") {
  HttpReader reader(HttpRole::kClient);
  REQUIRE(
      reader.Feed("HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nB: 2\r\nContent-Length: 0\r\n\r\n"));
  REQUIRE(reader.Take());
  const auto second = reader.Take();
  REQUIRE(second);
  CHECK(FindHeader(*second, "A") == nullptr);
  CHECK(FindHeader(*second, "B") != nullptr);
}

}  // namespace
}  // namespace kingcuplock
