# Warnings, and the compiler cache where it is installed.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

option(NUTMEG_SANITIZE "build with the address and undefined sanitizers" OFF)
add_library(nutmeg_options INTERFACE)
# Warnings are errors for developers only: another compiler may have more.
option(NUTMEG_WERROR "treat warnings as errors" OFF)
# GCC 12 reports false overlaps inside std::string at -O3 (its bug 105329). The
# linter's compiler does not know that warning.
target_compile_options(nutmeg_options INTERFACE -Wall -Wextra -Wno-psabi
  -Wno-missing-field-initializers -Wno-restrict -Wno-unknown-warning-option)
if(NUTMEG_WERROR)
  target_compile_options(nutmeg_options INTERFACE -Werror)
endif()
target_include_directories(nutmeg_options INTERFACE
  ${CMAKE_SOURCE_DIR}/src/include ${CMAKE_SOURCE_DIR}/src)
if(NUTMEG_SANITIZE)
  target_compile_options(nutmeg_options INTERFACE
    -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(nutmeg_options INTERFACE -fsanitize=address,undefined)
endif()
