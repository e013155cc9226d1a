// Guards against keys that are taken for another tenant's, kept in the clear,
// or that let a crowd with wrong keys ask the store again and again.

#include <doctest/doctest.h>

#include "kingcuplock/tenants/key_digest.h"
#include "kingcuplock/tenants/tenant_directory.h"
#include "kingcuplock/tenants/unknown_key_lookup.h"

namespace kingcuplock {
namespace {

auto Tenant(std::string name, std::initializer_list<const char*> keys)
    -> TenantConfig {
  TenantConfig out;
  out.name = std::move(name);
  for (const auto* it : keys) {
    out.key_digests.push_back(DigestOfKey(it));
  }
  return out;
}

TEST_CASE("digest: SHA-256 of the key, and none for no key") {
  CHECK(DigestOfKey("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(DigestOfKey("").empty());
  CHECK(IsKeyDigest(DigestOfKey("x")));
  CHECK_FALSE(IsKeyDigest("x"));
  CHECK(AreDigestsEqual(DigestOfKey("a"), DigestOfKey("a")));
  CHECK_FALSE(AreDigestsEqual(DigestOfKey("a"), DigestOfKey("b")));
  CHECK_FALSE(AreDigestsEqual(DigestOfKey("a"), ""));
}

TEST_CASE("directory: two keys of a tenant, a key that moves, no key at all") {
  TenantDirectory tenants;
  CHECK_FALSE(tenants.ChecksKeys());
  RouteTable table;
  table.checks_keys = true;
  table.tenants = {Tenant("a", {"k1", "k2"}), Tenant("b", {"k3", "k1"})};
  tenants.SetTable(table);
  CHECK(tenants.ChecksKeys());
  CHECK(tenants.FindByKey(DigestOfKey("k1"))->name == "a");
  CHECK(tenants.FindByKey(DigestOfKey("k2"))->name == "a");
  CHECK(tenants.FindByKey(DigestOfKey("k3"))->name == "b");
  CHECK(tenants.FindByKey(DigestOfKey("")) == nullptr);
  CHECK(tenants.FindByKey("k1") == nullptr);
  table.tenants = {Tenant("b", {"k1"})};
  tenants.SetTable(table);
  CHECK(tenants.FindByKey(DigestOfKey("k1"))->name == "b");
  CHECK(tenants.FindByKey(DigestOfKey("k2")) == nullptr);
  CHECK(tenants.FindByName("a") == nullptr);
}

TEST_CASE(
    "load: a crowd with wrong keys reads the configuration once a second") {
  UnknownKeyLookup lookup;
  const Time start{Milliseconds(5000)};
  auto readings = 0;
  ConnectionId client = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    const auto now = start + Milliseconds(ms);
    const auto decision = lookup.Add(++client, {"db", "digest"}, now);
    readings += decision == UnknownKeyLookup::Decision::kWaitAndRead ? 1 : 0;
    if (ms % 300 == 299) {
      lookup.TakeAll();
    }
  }
  CHECK(readings <= 10);
  CHECK(readings >= 8);
}

TEST_CASE("lookup: clients join a reading, and few wait at once") {
  UnknownKeyLookup lookup;
  const Time now{Milliseconds(5000)};
  CHECK(lookup.Add(1, {}, now) == UnknownKeyLookup::Decision::kWaitAndRead);
  CHECK(lookup.Add(2, {}, now) == UnknownKeyLookup::Decision::kWait);
  CHECK(lookup.Remove(2));
  CHECK_FALSE(lookup.Remove(2));
  for (ConnectionId it = 3; it < 3 + UnknownKeyLookup::kMaxWaiting - 1; ++it) {
    CHECK(lookup.Add(it, {}, now) == UnknownKeyLookup::Decision::kWait);
  }
  CHECK(lookup.Add(9000, {}, now) == UnknownKeyLookup::Decision::kRefuse);
  CHECK(lookup.TakeAll().size() == UnknownKeyLookup::kMaxWaiting);
  CHECK(lookup.Add(9000, {}, now + Milliseconds(10)) ==
        UnknownKeyLookup::Decision::kRefuse);
}

}  // namespace
}  // namespace kingcuplock
