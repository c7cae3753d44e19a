# The only place that searches for third-party libraries.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
if(DAISYSTILE_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(prometheus-cpp REQUIRED)
find_package(tomlplusplus REQUIRED)
pkg_check_modules(ACE REQUIRED IMPORTED_TARGET ACE)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(third_party INTERFACE)
target_link_libraries(third_party INTERFACE PkgConfig::ACE PkgConfig::MICROHTTPD PkgConfig::GLOG PkgConfig::XXHASH CURL::libcurl OpenSSL::Crypto prometheus-cpp::core Threads::Threads)
# Build toml++ header-only without exceptions, so that it returns parse errors as values; Debian's shared library is
# compiled with exceptions.
target_compile_definitions(third_party INTERFACE TOML_EXCEPTIONS=0 TOML_HEADER_ONLY=1)
