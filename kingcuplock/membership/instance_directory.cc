#include "kingcuplock/membership/instance_directory.h"

#include <algorithm>
#include <utility>

#include "kingcuplock/schema/codec.h"

namespace kingcuplock {

auto InstanceDirectory::UpdateFromJson(std::string_view text) -> bool {
  try {
    auto list = DecodeFrame(text, FrameFormat::kJson).get<InstanceList>();
    if (list == list_) {
      return false;
    }
    list_ = std::move(list);
    return true;
  } catch (const SchemaError& ex) {
    outbox_.Log(Event::kInstanceListRejected, {{"reason", ex.what()}});
    return false;
  }
}

auto InstanceDirectory::LeavingMembers(const DatabaseConfig& database) const
    -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& member : database.members) {
    const auto is_leaving = std::any_of(
        list_.endpoints.begin(), list_.endpoints.end(),
        [&](const InstanceEntry& it) {
          const auto same_address =
              it.host == member.host && it.port == member.port;
          return it.leaving && (it.name == member.name || same_address);
        });
    if (is_leaving) {
      out.push_back(member.name);
    }
  }
  return out;
}

}  // namespace kingcuplock
