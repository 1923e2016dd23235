#include <iostream>

#include "simhost/simhost.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return cartspring::SimHost().Run(std::cin, std::cout, std::cerr);
}
