#pragma once

/// Hash of a request's content. It is stored with the request's outcome marker,
/// so that a request id reused with other content is refused.
///
/// Example:
///   call.content_hash = HashRequestContent(request);

#include <string>

#include "kingcuplock/schema/messages.h"

namespace kingcuplock {

/// Returns a hash, as 16 hexadecimal digits, of the request's database, kind,
/// step, transaction and statements, but not of its patience, token and times.
/// It detects mistakes, not forgeries. O(size of the request).
auto HashRequestContent(const CallerRequest& request) -> std::string;

}  // namespace kingcuplock
