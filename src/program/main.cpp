#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <system_error>

#include "program/serve.hpp"

int main() {
  hareramp::Log log(stderr);
  try {
    return hareramp::program::serve(hareramp::program::load_config(), log);
  } catch (const std::exception& error) {
    log.line("hareramp: {}", error.what());
    return 1;
  }
}
