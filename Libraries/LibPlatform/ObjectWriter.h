#pragma once

#include "LibCore/StrongType.h"

#include <string>
#include <string_view>

namespace Anvilyard::Platform {

/// Id of one change. Each writer stores a new id in the member `writer` at the top level of the object's spec.
using WriterId = StrongType<struct WriterIdTag, std::string>;

/// Returns the writer id of a spec, or an empty id if it has none.
WriterId writerOf(std::string_view spec);

/// Returns an id that is unique among the changes of all processes.
WriterId makeWriterId(std::string_view process);

} // namespace Anvilyard::Platform
