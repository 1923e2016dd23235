function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE result)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "failed: ${ARGN}")
  endif()
endfunction()

file(REMOVE_RECURSE ${WORK_DIR})
run(${CMAKE_COMMAND} --install ${BUILD_DIR} --prefix ${WORK_DIR}/prefix)
run(${CMAKE_COMMAND} -S ${SOURCE_DIR} -B ${WORK_DIR}/build -DCMAKE_PREFIX_PATH=${WORK_DIR}/prefix
    "-DCMAKE_CXX_FLAGS=${FLAGS}")
run(${CMAKE_COMMAND} --build ${WORK_DIR}/build)
run(${WORK_DIR}/build/consumer)
