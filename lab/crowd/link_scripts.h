// Kinds of hostile peers on the links between machines: frames of the internal protocol that never end, and
// connections that say nothing.
#ifndef BITTERNMUX_LAB_CROWD_LINK_SCRIPTS_H_
#define BITTERNMUX_LAB_CROWD_LINK_SCRIPTS_H_

#include <cstddef>
#include <random>
#include <vector>

#include "lab/crowd/script.h"

namespace bitternmux::lab::crowd {

using LinkKind = Script (*)(std::mt19937&);

// A frame of legal size, announced, and short of its end; as the first one on its link, behind an agent's
// greeting, or behind a subscription.
Script FirstFrame(std::mt19937& random);
Script FrameBehindHello(std::mt19937& random);
Script FrameBehindSubscription(std::mt19937& random);
// One byte a round behind its announced size.
Script DrippedFrame(std::mt19937& random);
// Subscriptions one behind the other, from the beginning each; what is answered is never read.
Script NeverReadsFeed(std::mt19937& random);
Script SilentLink(std::mt19937& random);
// Whole frames of legal size that mean nothing to anybody.
Script Noise(std::mt19937& random);

const std::vector<LinkKind>& FrameKinds();
const std::vector<LinkKind>& LinkConnectionKinds();

std::vector<Script> Draw(const std::vector<LinkKind>& kinds, std::size_t count, std::mt19937& random);

}  // namespace bitternmux::lab::crowd

#endif  // BITTERNMUX_LAB_CROWD_LINK_SCRIPTS_H_
