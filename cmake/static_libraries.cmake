# Links every library except the C library statically. Loading shared libraries
# takes most of the start-up time of a process that has a small share of a core.
set(CMAKE_FIND_LIBRARY_SUFFIXES .a .so)
set(CMAKE_INTERPROCEDURAL_OPTIMIZATION OFF)
add_compile_options(-ffunction-sections -fdata-sections)
add_link_options(-static-libstdc++ -static-libgcc -Wl,--gc-sections
                 -Wl,--as-needed)

# The CMake targets of the Abseil and Cap'n Proto packages name shared libraries.
# The static ones are in the same folders.
get_property(imported DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(target ${imported})
  if(NOT target MATCHES "^(absl|CapnProto)::")
    continue()
  endif()
  foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE
                   IMPORTED_LOCATION_RELEASE)
    get_target_property(location ${target} ${property})
    if(NOT location)
      continue()
    endif()
    string(REGEX REPLACE "\\.so[0-9.]*$" ".a" static "${location}")
    string(REGEX REPLACE "-[0-9]+\\.[0-9]+\\.[0-9]+\\.a$" ".a" static
           "${static}")
    if(EXISTS "${static}")
      set_target_properties(${target} PROPERTIES ${property} "${static}")
    endif()
  endforeach()
endforeach()
