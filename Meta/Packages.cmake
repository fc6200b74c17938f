# Functions that declare the packages of the repository: libraries, programs, tests and fuzz targets.

add_library(bilberryyard_options INTERFACE)
target_compile_options(bilberryyard_options INTERFACE -Wall -Wextra -Werror -Wshadow -Wnon-virtual-dtor
    # GCC 12 falsely warns about uninitialised memory when it inlines moves of std::variant members. Clang rejects the
    # unknown option.
    $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
target_include_directories(bilberryyard_options INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)
target_link_libraries(bilberryyard_options INTERFACE Threads::Threads)
if(BILBERRYYARD_SANITIZE)
    # Without -fno-sanitize-recover the undefined behaviour sanitizer reports an error and continues, so the test passes.
    target_compile_options(bilberryyard_options INTERFACE
        -fsanitize=${BILBERRYYARD_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(bilberryyard_options INTERFACE -fsanitize=${BILBERRYYARD_SANITIZE})
endif()

# bilberryyard_library(<name> [DEPENDS <target>...])
# A static library from the .cpp files of the current folder. DEPENDS entries are linked publicly.
function(bilberryyard_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp *.cc)
    add_library(${name} STATIC ${sources})
    set_target_properties(${name} PROPERTIES LINKER_LANGUAGE CXX)
    target_link_libraries(${name} PUBLIC bilberryyard_options ${ARG_DEPENDS})
endfunction()

# bilberryyard_program(<name> [DEPENDS <target>...])
# An executable from the .cpp files of the current folder.
function(bilberryyard_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE bilberryyard_options ${ARG_DEPENDS})
endfunction()

# bilberryyard_test(<name> [DEPENDS <target>...] [SPLIT <case>...])
# A Boost.Test program from the .cpp files of the current folder, registered with ctest. One of the files defines
# BOOST_TEST_MODULE. Each long case under SPLIT is registered as a separate test <name>_<case>, which runs in parallel
# with the others. All of them have the label <name>.
function(bilberryyard_test name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;SPLIT" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BILBERRYYARD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${name} PRIVATE bilberryyard_options Boost::unit_test_framework ${ARG_DEPENDS})
    set(arguments --log_level=test_suite --report_level=short)
    set(others "")
    foreach(case ${ARG_SPLIT})
        add_test(NAME ${name}_${case} COMMAND ${name} --run_test=${case} ${arguments})
        # ctest starts tests with a higher COST first.
        set_tests_properties(${name}_${case} PROPERTIES TIMEOUT 240 COST 50 LABELS ${name})
        list(APPEND others "--run_test=!${case}")
    endforeach()
    add_test(NAME ${name} COMMAND ${name} ${others} ${arguments})
    set_tests_properties(${name} PROPERTIES TIMEOUT 240 LABELS ${name})
endfunction()

# Meta/fuzz.sh builds the target fuzz_targets and runs the programs that are listed in fuzz-targets.txt.
if(BILBERRYYARD_FUZZ)
    add_custom_target(fuzz_targets)
    file(WRITE ${CMAKE_BINARY_DIR}/fuzz-targets.txt "")
endif()

# bilberryyard_fuzz_target(<name> SOURCE <file> [DEPENDS <target>...])
# A libFuzzer program; built only with BILBERRYYARD_FUZZ. The libraries it links are instrumented
# by BILBERRYYARD_SANITIZE=address,undefined,fuzzer-no-link.
function(bilberryyard_fuzz_target name)
    if(NOT BILBERRYYARD_FUZZ)
        return()
    endif()
    cmake_parse_arguments(ARG "" "SOURCE" "DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCE})
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
    target_link_libraries(${name} PRIVATE bilberryyard_options ${ARG_DEPENDS})
    add_dependencies(fuzz_targets ${name})
    file(APPEND ${CMAKE_BINARY_DIR}/fuzz-targets.txt "${name}\n")
endfunction()

# bilberryyard_prefer_static_libraries()
# Links imported libraries statically if a static archive exists in the folder of the shared library.
function(bilberryyard_prefer_static_libraries)
    get_property(targets DIRECTORY ${CMAKE_SOURCE_DIR} PROPERTY IMPORTED_TARGETS)
    foreach(target ${targets})
        get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
        foreach(configuration ${configurations})
            get_target_property(location ${target} IMPORTED_LOCATION_${configuration})
            string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${location}")
            if(NOT archive STREQUAL location AND EXISTS ${archive})
                set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_${configuration} ${archive})
            endif()
        endforeach()
    endforeach()
    add_link_options(-Wl,--as-needed)
endfunction()
