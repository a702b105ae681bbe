/// Messages of the JSON gateway of etcd version 3. Keys and values are in
/// base64, 64-bit integers are strings, and fields with value 0 are omitted.

#ifndef GUAVASTAIR_LIB_STORE_ETCD_JSON_HPP
#define GUAVASTAIR_LIB_STORE_ETCD_JSON_HPP

#include <guavastair/store.hpp>

namespace guavastair::store {

std::string encode(const range_request& request);
std::string encode(const write_request& request);
std::string encode(const watch_request& request);
std::string encode_lease_grant(support::duration ttl);
std::string encode_lease_call(lease_id lease);

/// The decode functions fail with error_kind::internal if `text` is not a
/// valid message.
absl::StatusOr<range_result> decode_range(const std::string& text);
absl::StatusOr<write_result> decode_write(const std::string& text);
absl::StatusOr<lease_id> decode_lease_grant(const std::string& text);
/// Returns the remaining time to live; 0 if the lease has expired.
absl::StatusOr<support::duration> decode_keep_alive(const std::string& text);
/// Also fails with error_kind::store_unavailable if the store has cancelled
/// the watch for a reason other than compaction.
absl::StatusOr<watch_message> decode_watch(const std::string& text);

} // namespace guavastair::store

#endif
