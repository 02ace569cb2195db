// Includes cpp-httplib with the same configuration as its shared library. The
// layout of its classes depends on this macro, so every file must include the
// library through this header.
#ifndef MARJORAMHALL_NET_HTTP_LIBRARY_H_
#define MARJORAMHALL_NET_HTTP_LIBRARY_H_

#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>

#endif  // MARJORAMHALL_NET_HTTP_LIBRARY_H_
