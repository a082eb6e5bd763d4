# Warnings and sanitizers of the project's own code; generated code and installed headers are excluded.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_library(bergamot_options INTERFACE)
target_compile_options(bergamot_options INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Werror)
if(BERGAMOT_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()
