#ifndef GUAVASTAIR_LIB_NET_LWIP_HPP
#define GUAVASTAIR_LIB_NET_LWIP_HPP

extern "C" {
// lwIP's options must be included before its other headers.
#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/opt.h>
#include <lwip/pbuf.h>
#include <lwip/tcp.h>
#include <lwip/timeouts.h>
}

#endif
