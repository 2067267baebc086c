# Functions for the CMakeLists.txt files of the folders. All sources of a folder belong to its target.

add_library(anvilyard_options INTERFACE)
# Designated initialisers omit members that have a default.
target_compile_options(anvilyard_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
target_include_directories(anvilyard_options INTERFACE ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR})
target_link_libraries(anvilyard_options INTERFACE Threads::Threads)

# anvilyard_library(NAME [dependencies...]): adds a static library of the folder's *.cpp files, or an interface library if there are none.
function(anvilyard_library name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC anvilyard_options ${ARGN})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE anvilyard_options ${ARGN})
    endif()
endfunction()

# anvilyard_program(NAME [dependencies...]): adds a program of the folder's *.cpp files.
function(anvilyard_program name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE anvilyard_options ${ARGN})
endfunction()

# Time after which a test program is ended, in seconds.
set(ANVILYARD_TEST_TIMEOUT 600)
# A fixed seed makes RapidCheck generate the same cases in each run. Set RC_PARAMS to generate others.
set(ANVILYARD_TEST_ENVIRONMENT "RC_PARAMS=seed=20261203")

# anvilyard_test_program(NAME [dependencies...]): adds a GoogleTest program of the folder's *.cpp files.
function(anvilyard_test_program name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE anvilyard_options ${ARGN} GTest::gmock GTest::gtest_main rapidcheck)
endfunction()

# anvilyard_test(NAME [dependencies...]): adds a test program as a single CTest test.
function(anvilyard_test name)
    anvilyard_test_program(${name} ${ARGN})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "${ANVILYARD_TEST_ENVIRONMENT}" TIMEOUT ${ANVILYARD_TEST_TIMEOUT})
endfunction()

# anvilyard_serial_test(NAME SHARDS [dependencies...]): adds a test program as SHARDS CTest tests, each of which runs alone and has its own
# timeout.
function(anvilyard_serial_test name shards)
    anvilyard_test_program(${name} ${ARGN})
    foreach(number RANGE 1 ${shards})
        math(EXPR index "${number} - 1")
        set(test ${name}-${number})
        add_test(NAME ${test} COMMAND ${name})
        set_tests_properties(${test} PROPERTIES
            ENVIRONMENT "${ANVILYARD_TEST_ENVIRONMENT};GTEST_TOTAL_SHARDS=${shards};GTEST_SHARD_INDEX=${index}"
            TIMEOUT ${ANVILYARD_TEST_TIMEOUT}
            RUN_SERIAL TRUE)
    endforeach()
endfunction()
