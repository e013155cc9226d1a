// Items in the store that another writer has written under the keys that the
// daemon reads.

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/node_fixture.h"

namespace kingcuplock {
namespace {

/// Texts that are no item of any kind, or have a field that can't be used.
auto MalformedTexts() -> std::vector<std::string> {
  constexpr std::size_t kDepth = 200'000;
  const std::string nested(kDepth, '[');
  std::string objects;
  for (std::size_t n = 0; n < kDepth / 8; ++n) {
    objects += R"({"databases":)";
  }
  return {"",
          "\xff\xfe",
          "5",
          "[]",
          "{}",
          nested,
          nested + std::string(kDepth, ']'),
          R"({"databases":)" + nested + std::string(kDepth, ']') + "}",
          objects + "[]" + std::string(kDepth / 8, '}'),
          R"({"version":1e300,"deployment":"d","databases":[]})",
          R"({"version":99999999999999999999999,"deployment":"d"})",
          R"({"epoch":1e300,"owner":"x"})",
          R"({"epoch":9223372036854775807,"owner":"x","lease":"5"})",
          R"({"epoch":-5,"owner":"x","term":{}})",
          R"({"instances":[{"name":"a","host":"h","port":99999}]})",
          R"({"instances":[{"name":"a","host":"h","port":1e300}]})",
          R"({"instances":[5,[],{}],"endpoints":{"a":1}})"};
}

// Guards against an item that ends the process or keeps it from following the
// others, under every key that the daemon reads.
TEST_CASE("Malformed items under any watched key do no harm to a daemon") {
  NodeFixture fixture({.seed = 1, .nodes = 3});
  fixture.RunUntilServing();
  const std::string prefix =
      "kingcuplock/" + fixture.manifest().deployment + "/";
  auto number = 0;
  const auto serves = [&] {
    auto request =
        fixture.MakeAppendRequest("w" + std::to_string(++number), "row", "x");
    request.patience_ms = 5000;
    return fixture.SendAndWait(static_cast<std::size_t>(number) % 3, request)
               .status == Status::kOk;
  };
  REQUIRE(serves());
  for (const auto& text : MalformedTexts()) {
    CAPTURE(text.substr(0, 40));
    for (const auto* key : {"owner/other", "owner/", "lease/other", "lease/",
                            "lease/7", "manifest"}) {
      fixture.PutInStore(prefix + key, text);
    }
    fixture.PutInStore("platform/instances", text);
    fixture.PutInStore("platform/other", text);
    fixture.RunFor(Milliseconds(100));
    CHECK(serves());
  }
  // The owner writes its record again.
  for (const auto& text : MalformedTexts()) {
    CAPTURE(text.substr(0, 40));
    fixture.PutInStore(prefix + "owner/db0", text);
    fixture.RunFor(Milliseconds(500));
    CHECK(serves());
  }
  // Later items are followed.
  auto manifest = fixture.manifest();
  manifest.version += 1;
  fixture.PublishManifest(manifest);
  fixture.RunFor(Milliseconds(3000));
  for (std::size_t n = 0; n < fixture.nodes(); ++n) {
    CHECK(fixture.StatusOf(n).manifest_version == manifest.version);
  }
  CHECK(serves());
}

}  // namespace
}  // namespace kingcuplock
