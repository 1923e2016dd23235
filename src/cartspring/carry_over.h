// Vectors indexed by class, zone or kind that grow on demand and follow a change of the index order.
#ifndef CARTSPRING_SRC_CARTSPRING_CARRY_OVER_H_
#define CARTSPRING_SRC_CARTSPRING_CARRY_OVER_H_

#include <cstddef>
#include <utility>
#include <vector>

namespace cartspring {

// Row i becomes a copy of the former row `like[i]`, or `make_row(i)` where there is none.
template <class Row, class MakeRow>
void CarryOver(std::vector<Row>& rows, const std::vector<int>& like, MakeRow make_row) {
  std::vector<Row> out;
  for (std::size_t i = 0; i < like.size(); ++i) {
    const bool known = like[i] >= 0 && static_cast<std::size_t>(like[i]) < rows.size();
    out.push_back(known ? rows[static_cast<std::size_t>(like[i])] : make_row(i));
  }
  rows = std::move(out);
}

// ValueAt: the row's value, 0 where none was set. SlotAt: a reference to it; the vector grows as needed.
inline double ValueAt(const std::vector<double>& rows, int row) {
  return static_cast<std::size_t>(row) < rows.size() ? rows[static_cast<std::size_t>(row)] : 0;
}
inline double& SlotAt(std::vector<double>& rows, int row) {
  if (static_cast<std::size_t>(row) >= rows.size()) rows.resize(static_cast<std::size_t>(row) + 1, 0);
  return rows[static_cast<std::size_t>(row)];
}

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_CARRY_OVER_H_
