# Declares the library lib/NAME with its public header
# include/guavastair/NAME.hpp.
#   guavastair_library(NAME SOURCES a.cpp ... DEPENDS target ...)
function(guavastair_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(guavastair_${name} STATIC ${arg_SOURCES})
  target_include_directories(guavastair_${name} PUBLIC
                             ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(guavastair_${name} PUBLIC ${arg_DEPENDS})
endfunction()

# Declares the doctest executable of unittests/NAME and one ctest entry.
#   guavastair_unittest(NAME SOURCES a.cpp ... DEPENDS target ...)
function(guavastair_unittest name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(unittest_${name} ${PROJECT_SOURCE_DIR}/unittests/main.cpp
                                  ${arg_SOURCES})
  target_link_libraries(unittest_${name} PRIVATE ${arg_DEPENDS}
                        doctest::doctest rapidcheck)
  add_test(NAME unittest_${name} COMMAND unittest_${name})
  set_tests_properties(unittest_${name} PROPERTIES
    TIMEOUT 600 ENVIRONMENT "RC_PARAMS=$ENV{RC_PARAMS}")
endfunction()

# Declares a Google Benchmark executable.
#   guavastair_benchmark(NAME SOURCES a.cpp ... DEPENDS target ...)
function(guavastair_benchmark name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} benchmark::benchmark)
endfunction()

# Declares a libFuzzer target: NAME with LLVMFuzzerTestOneInput in its sources.
#   guavastair_fuzz_target(NAME SOURCES a.cpp ... DEPENDS target ...)
function(guavastair_fuzz_target name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(fuzz_${name} ${arg_SOURCES})
  target_link_libraries(fuzz_${name} PRIVATE ${arg_DEPENDS})
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
endfunction()

# Adds every subdirectory of the caller's folder that has a CMakeLists.txt.
function(guavastair_add_parts)
  file(GLOB parts CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR}
       ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  foreach(part ${parts})
    get_filename_component(folder ${part} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()
