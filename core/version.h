#ifndef CORE_VERSION_H_
#define CORE_VERSION_H_

#include <string_view>

namespace peridotarch {

/// Version of the library and both programs; the build reads it from here.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace peridotarch

#endif  // CORE_VERSION_H_
