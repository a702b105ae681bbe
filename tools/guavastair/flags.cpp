#include "flags.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "",
          "settings file of this process (JSON with comments)");
ABSL_FLAG(std::string, role, "",
          "which settings the file holds: balancer or agent");
ABSL_FLAG(std::string, store, "127.0.0.1:2379",
          "store endpoints, a.b.c.d:port, separated by commas");
ABSL_FLAG(std::string, admin, "",
          "administration endpoints to query, a.b.c.d:port, separated by "
          "commas");
ABSL_FLAG(std::string, format, "table", "output format: table or json");
ABSL_FLAG(std::int64_t, base_revision, -1,
          "revision that the edit is based on, as \"service get\" shows it; "
          "-1 for a new document");
ABSL_FLAG(std::int32_t, timeout_ms, 5000,
          "timeout of one request, in milliseconds");
