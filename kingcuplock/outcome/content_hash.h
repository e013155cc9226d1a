#pragma once

/// Hash of what a request does, kept with its marker so that the same request
/// id with another content is refused.
///
/// Example:
///   call.content_hash = HashRequestContent(request);

#include <string>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Returns 16 hexadecimal digits over database, kind, step, transaction and
/// statements; not over patience, token and times. It tells mistakes apart,
/// not forgeries. O(size of the request).
auto HashRequestContent(const CallerRequest& request) -> std::string;

}  // namespace kingcuplock
