# Registers the library's modules, the programs and the tests in one line each.

# Flags for our own code; generated code is compiled without them.
set(BRONZEWARD_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror
    # False alarm of g++ 12 on joined strings, GCC bug 105651.
    -Wno-restrict)

# bronzeward_module(<Name> SOURCES ... DEPENDS ...)
function(bronzeward_module Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  list(TRANSFORM Arg_SOURCES PREPEND src/${Name}/)
  add_library(bronzeward_${Name} STATIC ${Arg_SOURCES})
  target_compile_options(bronzeward_${Name} PRIVATE ${BRONZEWARD_WARNINGS})
  target_include_directories(bronzeward_${Name} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(bronzeward_${Name} PUBLIC ${Arg_DEPENDS})
endfunction()

# bronzeward_program(<name> SOURCES ... DEPENDS ...)
function(bronzeward_program Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  target_compile_options(${Name} PRIVATE ${BRONZEWARD_WARNINGS})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS})
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        ${CMAKE_BINARY_DIR}/bin)
endfunction()

# bronzeward_test(<Feature> DEPENDS ...): <Feature>Test.cpp into one binary.
function(bronzeward_test Feature)
  cmake_parse_arguments(Arg "" "" "DEPENDS" ${ARGN})
  target_sources(bronzeward_tests PRIVATE ${Feature}Test.cpp)
  target_link_libraries(bronzeward_tests PRIVATE ${Arg_DEPENDS})
  add_test(NAME ${Feature} COMMAND bronzeward_tests "[${Feature}]")
endfunction()

# bronzeward_process_test(<Feature>): process/<Feature>Test.py on real
# processes; runs alone, since its deadlines are in real time. Left out of
# sanitizer builds, which build the tests only.
function(bronzeward_process_test Feature)
  if(BRONZEWARD_SANITIZE)
    return()
  endif()
  add_test(NAME ${Feature} COMMAND python3
           ${CMAKE_CURRENT_SOURCE_DIR}/process/${Feature}Test.py)
  set_tests_properties(${Feature} PROPERTIES ENVIRONMENT
                       "BRONZEWARD_BIN=${CMAKE_BINARY_DIR}/bin"
                       RUN_SERIAL TRUE)
endfunction()
