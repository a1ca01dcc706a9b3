#include <iostream>

#include "cli/command.h"

int main(int argc, char** argv) {
  return peridotarch::RunCli(argc, argv, std::cout, std::cerr);
}
