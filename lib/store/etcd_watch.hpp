/// A watch on the JSON gateway of etcd version 3.

#ifndef GUAVASTAIR_LIB_STORE_ETCD_WATCH_HPP
#define GUAVASTAIR_LIB_STORE_ETCD_WATCH_HPP

#include "etcd_connection.hpp"

#include <guavastair/store.hpp>

namespace guavastair::store {

/// Opens a watch on the endpoint `at`. Returns null and sets `failure` on an
/// error.
std::unique_ptr<watch_stream> open_etcd_watch(support::endpoint at,
                                              const watch_request& request,
                                              support::duration timeout,
                                              exchange_failure& failure);

} // namespace guavastair::store

#endif
