// A table of rows, addressed by index or by name. A row in use is never given to another name, and no row is
// added while one is free. A plain container without decision logic.
//
// Memory: as many rows as were in use at the same time.
#ifndef BITTERNMUX_SRC_ROWS_NAMED_ROWS_H_
#define BITTERNMUX_SRC_ROWS_NAMED_ROWS_H_

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace cartspring {

// Row must be default-constructible and have `int row` (its index), `std::string Name() const` and
// `bool InUse() const`.
template <class Row>
class NamedRows {
 public:
  static constexpr int kNone = -1;

  Row& operator[](int row) { return rows_[static_cast<std::size_t>(row)]; }
  const Row& operator[](int row) const { return rows_[static_cast<std::size_t>(row)]; }
  int size() const { return static_cast<int>(rows_.size()); }
  auto begin() { return rows_.begin(); }
  auto end() { return rows_.end(); }

  int Find(const std::string& name) const {
    const auto found = index_.find(name);
    return found != index_.end() ? found->second : kNone;
  }

  // Resets the first free row and assigns it to `name`, which must not have a row yet. A row that is no
  // longer in use is found once MarkFree was called for it or RescanFromStart was called. All additions
  // between two calls of RescanFromStart together cost one pass over the rows.
  Row& Add(const std::string& name) {
    while (first_free_ < size() && (*this)[first_free_].InUse()) ++first_free_;
    if (first_free_ == size()) rows_.emplace_back();
    Row& row = (*this)[first_free_];
    index_.erase(row.Name());
    row = Row();
    row.row = index_[name] = first_free_;
    return row;
  }
  void RescanFromStart() { first_free_ = 0; }
  void MarkFree(int row) { first_free_ = std::min(first_free_, row); }

 private:
  std::vector<Row> rows_;
  std::unordered_map<std::string, int> index_;  // never iterated over
  int first_free_ = 0;                          // all rows below this index are in use
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_ROWS_NAMED_ROWS_H_
