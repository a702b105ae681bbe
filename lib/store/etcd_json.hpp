/// The messages of etcd version 3's JSON gateway: keys and values in base64,
/// 64-bit integers as strings, fields that are zero left out.

#ifndef GUAVASTAIR_LIB_STORE_ETCD_JSON_HPP
#define GUAVASTAIR_LIB_STORE_ETCD_JSON_HPP

#include <guavastair/store.hpp>

namespace guavastair::store {

std::string encode(const range_request& request);
std::string encode(const write_request& request);
std::string encode(const watch_request& request);
std::string encode_lease_grant(support::duration ttl);
std::string encode_lease_call(lease_id lease);

/// Each fails with error_kind::internal if `text` is not such a message.
absl::StatusOr<range_result> decode_range(const std::string& text);
absl::StatusOr<write_result> decode_write(const std::string& text);
/// 0 for a lease that has lapsed.
absl::StatusOr<lease_id> decode_lease_grant(const std::string& text);
absl::StatusOr<support::duration> decode_keep_alive(const std::string& text);
/// Fails with error_kind::store_unavailable if the store has ended the watch
/// for any reason but compaction.
absl::StatusOr<watch_message> decode_watch(const std::string& text);

} // namespace guavastair::store

#endif
