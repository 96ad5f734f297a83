# Builds the program with a deliberate fault, for a test that has to detect it:
# hareramp_broken(NAME FILE FROM TO [FROM TO ...]) replaces each FROM in that source file by its TO. Configuring fails
# if the file no longer contains a FROM.
function(hareramp_broken name file)
  file(READ ${CMAKE_SOURCE_DIR}/${file} text)
  math(EXPR last_index "${ARGC} - 1")
  foreach(index RANGE 2 ${last_index} 2)
    math(EXPR to_index "${index} + 1")
    set(from "${ARGV${index}}")
    set(to "${ARGV${to_index}}")
    string(FIND "${text}" "${from}" position)
    if(position EQUAL -1)
      message(FATAL_ERROR "${file} no longer contains the text that the broken build ${name} replaces: ${from}")
    endif()
    string(REPLACE "${from}" "${to}" text "${text}")
  endforeach()
  get_filename_component(base ${file} NAME)
  set(changed_file ${CMAKE_BINARY_DIR}/broken/${name}/${base})
  file(GENERATE OUTPUT ${changed_file} CONTENT "${text}")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${file})
  # The linker finds this object before the library's object of the same file, which is then never linked.
  add_executable(hareramp_broken_${name} EXCLUDE_FROM_ALL ${CMAKE_SOURCE_DIR}/src/program/main.cpp ${changed_file})
  target_link_libraries(hareramp_broken_${name} PRIVATE hareramp_program)
endfunction()
