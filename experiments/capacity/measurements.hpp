// What is measured against the size to design for: each measurement starts its own processes, plays its sizes
// one after another and returns a row a size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "capacity/table.hpp"

namespace hareramp::capacity {

struct Setup {
  std::string self;     // this program, for its child processes
  std::string program;  // the director
  std::string command;  // written into the table
  std::vector<double> sizes;
  double seconds = 5;  // of each span in which processor time and bytes are counted
  int processes = 3;   // that share simulated directors among them
  int nodes = 460;
  double rate = 100;  // purges/s
};

struct Measurement {
  std::string name, what;
  std::vector<double> sizes;  // the usual ones
  std::function<Table(const Setup&)> run;
};
const std::vector<Measurement>& measurements();

}  // namespace hareramp::capacity
