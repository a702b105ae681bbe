/// The flags of the binary. The table of commands lists the flags that each
/// command accepts.

#ifndef GUAVASTAIR_TOOLS_FLAGS_HPP
#define GUAVASTAIR_TOOLS_FLAGS_HPP

#include <absl/flags/declare.h>

#include <cstdint>
#include <string>

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::string, role);
ABSL_DECLARE_FLAG(std::string, store);
ABSL_DECLARE_FLAG(std::string, admin);
ABSL_DECLARE_FLAG(std::string, format);
ABSL_DECLARE_FLAG(std::int64_t, base_revision);
ABSL_DECLARE_FLAG(std::int32_t, timeout_ms);

#endif
