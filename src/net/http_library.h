// Includes cpp-httplib the way its shared library was compiled. The layout of
// its classes depends on this macro, so every file of this project includes
// the library through here.
#ifndef MARJORAMHALL_NET_HTTP_LIBRARY_H_
#define MARJORAMHALL_NET_HTTP_LIBRARY_H_

#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>

#endif  // MARJORAMHALL_NET_HTTP_LIBRARY_H_
