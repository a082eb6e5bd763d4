# Libraries from Debian packages; packaging/debian-packages.txt lists them.
find_package(PkgConfig REQUIRED)
find_package(Protobuf REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(doctest REQUIRED)
pkg_check_modules(SIGCPP REQUIRED IMPORTED_TARGET sigc++-3.0)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_path(EASYLOGGINGPP_SOURCE_DIR easylogging++.cc REQUIRED)
# doctest prints std::error_code values only with the complete stream types.
set_property(TARGET doctest::doctest APPEND PROPERTY INTERFACE_COMPILE_DEFINITIONS DOCTEST_CONFIG_USE_STD_HEADERS)
