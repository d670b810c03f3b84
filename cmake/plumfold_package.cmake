# Declares a package as a static library with the alias plumfold::NAME.
# Public headers live under include/, private headers and sources under src/.
function(plumfold_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(plumfold_${name} STATIC ${sources})
    add_library(plumfold::${name} ALIAS plumfold_${name})
    target_include_directories(plumfold_${name}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(plumfold_${name} PUBLIC ${ARG_DEPENDS})
endfunction()
