# Functions that define a target per folder, so that a new source file needs no
# change to a build file. A folder without sources becomes an interface library.

add_library(marjoramhall_flags INTERFACE)
target_compile_options(marjoramhall_flags INTERFACE -Wall -Wextra -Wshadow
                       -Wnon-virtual-dtor)
if(MARJORAMHALL_WERROR)
  target_compile_options(marjoramhall_flags INTERFACE -Werror)
endif()
target_include_directories(marjoramhall_flags INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_definitions(marjoramhall_flags INTERFACE ASIO_STANDALONE
                           ASIO_NO_DEPRECATED
                           # Otherwise asio's choice of the allocator depends
                           # on which headers precede it, and memory would be
                           # freed by another allocator than allocated it.
                           ASIO_DISABLE_STD_ALIGNED_ALLOC
                           MARJORAMHALL_VERSION="${PROJECT_VERSION}")

# marjoramhall_library(NAME LINKED...): library marjoramhall_NAME from src/NAME
# (or NAME, when there is no such folder) and, when tests/NAME has sources, the
# test program NAME_test.
function(marjoramhall_library name)
  set(folder ${PROJECT_SOURCE_DIR}/src/${name})
  if(NOT IS_DIRECTORY ${folder})
    set(folder ${PROJECT_SOURCE_DIR}/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  set(library marjoramhall_${name})
  if(sources)
    add_library(${library} STATIC ${sources})
    target_link_libraries(${library} PUBLIC marjoramhall_flags ${ARGN})
    # Generated code is compiled without warnings.
    set(generated ${sources})
    list(FILTER generated INCLUDE REGEX "\\.pb\\.cc$")
    set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS -w)
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE marjoramhall_flags ${ARGN})
  endif()

  file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${name}/*.cc)
  if(tests AND MARJORAMHALL_TESTS)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${library} rapidcheck
                          GTest::gtest GTest::gtest_main)
    target_compile_definitions(${name}_test PRIVATE
      MARJORAMHALL_TEST_DIR="${PROJECT_SOURCE_DIR}/tests/${name}")
    add_test(NAME ${name}_test COMMAND ${name}_test)
    # A fixed seed makes RapidCheck repeatable. A failure prints the seed.
    set_tests_properties(${name}_test PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
  endif()
endfunction()

# marjoramhall_program(NAME MAIN LINKED...): a program, if its main file exists.
function(marjoramhall_program name main)
  if(EXISTS ${PROJECT_SOURCE_DIR}/${main})
    add_executable(${name} ${main})
    target_link_libraries(${name} PRIVATE ${ARGN})
  endif()
endfunction()

# The lab tool. Everything in lab/ except main.cc is a library, so that tests
# and benchmarks can use it.
function(marjoramhall_lab)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/lab/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  if(sources)
    add_library(marjoramhall_lab_library STATIC ${sources})
    target_link_libraries(marjoramhall_lab_library
                          PUBLIC marjoramhall_net marjoramhall_platform_standin)
    marjoramhall_program(marjoramhall-lab lab/main.cc marjoramhall_lab_library)
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/lab/*.cc)
  if(sources AND tests)
    add_executable(lab_test ${tests})
    target_link_libraries(lab_test PRIVATE marjoramhall_lab_library rapidcheck
                          GTest::gtest GTest::gtest_main)
    target_compile_definitions(lab_test PRIVATE
      MARJORAMHALL_TEST_DIR="${PROJECT_SOURCE_DIR}/tests/lab")
    add_test(NAME lab_test COMMAND lab_test)
    set_tests_properties(lab_test PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
  endif()
endfunction()

# Defines a Google Benchmark program for each bench/NAME_bench.cc.
function(marjoramhall_benchmarks)
  find_package(benchmark REQUIRED)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/*_bench.cc)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE marjoramhall_net
                          benchmark::benchmark benchmark::benchmark_main)
    if(TARGET marjoramhall_lab_library)
      target_link_libraries(${name} PRIVATE marjoramhall_lab_library)
    endif()
  endforeach()
endfunction()
