add_compile_options(-Wall -Wextra -Wshadow -Wstrict-prototypes
  -Wmissing-prototypes -Wpointer-arith -Wundef -Wvla -fno-strict-aliasing
  -ffile-prefix-map=${CMAKE_SOURCE_DIR}/=)
add_compile_definitions(_GNU_SOURCE)
if(CAROB_WERROR)
  add_compile_options(-Werror)
endif()
if(CAROB_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
if(CAROB_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link)
endif()

# carob_add_test(NAME SOURCE... [LIBS lib...]): one CUnit program, one ctest.
function(carob_add_test name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(test-${name} ${ARG_UNPARSED_ARGUMENTS})
  target_include_directories(test-${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(test-${name} PRIVATE ${ARG_LIBS} PkgConfig::CUNIT)
  add_test(NAME ${name} COMMAND test-${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
