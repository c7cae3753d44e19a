# Every third-party library is found here and nowhere else.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(GTest REQUIRED)
find_package(benchmark REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(tomlplusplus REQUIRED)
pkg_check_modules(ACE REQUIRED IMPORTED_TARGET ACE)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(third_party INTERFACE)
target_link_libraries(third_party INTERFACE PkgConfig::ACE PkgConfig::MICROHTTPD PkgConfig::GLOG PkgConfig::XXHASH CURL::libcurl OpenSSL::Crypto prometheus-cpp::core Threads::Threads)
# toml++ reports mistakes as values; Debian's shared library has only the throwing form, so its headers are used alone.
target_compile_definitions(third_party INTERFACE TOML_EXCEPTIONS=0 TOML_HEADER_ONLY=1)
