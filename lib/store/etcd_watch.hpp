/// A watch of etcd version 3's JSON gateway.

#ifndef GUAVASTAIR_LIB_STORE_ETCD_WATCH_HPP
#define GUAVASTAIR_LIB_STORE_ETCD_WATCH_HPP

#include "etcd_connection.hpp"

#include <guavastair/store.hpp>

namespace guavastair::store {

/// Opens a watch at `at`; `failure` says why if that did not work.
std::unique_ptr<watch_stream> open_etcd_watch(support::endpoint at,
                                              const watch_request& request,
                                              support::duration timeout,
                                              exchange_failure& failure);

} // namespace guavastair::store

#endif
