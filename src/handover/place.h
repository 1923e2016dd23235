// Which process serves at an address here, where an old one and a new one run beside each other for a while.
//
// Two locks on files in a folder that both processes have: `serving`, held by the process whose place it is,
// and `next`, held by the one that serves beside it and follows. The kernel drops a lock with the process
// that holds it, however that ends, so that nothing stale is ever left. Where the folder or its locks cannot
// be had, each process is taken to be alone.
#ifndef BITTERNMUX_SRC_HANDOVER_PLACE_H_
#define BITTERNMUX_SRC_HANDOVER_PLACE_H_

#include <string>

namespace bitternmux::handover {

class Place {
 public:
  // `folder`: empty for none. `address`: the one served at; the files are named by it. With port 0 each
  // process has a port of its own, and is alone.
  Place(const std::string& folder, const std::string& address);
  ~Place();
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;

  // To be asked from time to time, some ten times a second: does an older process still serve here? Takes the
  // place over once none does.
  bool HasElder();
  // We serve beside an elder: are we the one that it may leave to what comes from now on? Not yet where
  // another follows it; to be asked again.
  bool Follow();
  // Does a younger process serve here that follows? Only of use to the one that holds the place.
  bool HasSuccessor();

 private:
  bool serving_ = false;  // the place is ours
  bool next_ = false;     // we follow
  int serving_fd_ = -1, next_fd_ = -1;
};

}  // namespace bitternmux::handover

#endif  // BITTERNMUX_SRC_HANDOVER_PLACE_H_
