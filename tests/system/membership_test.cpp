// Peer sampling: nodes find each other through the seeds, remove dead nodes from their views and find each
// other again after a partition.
#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "membership/partial_view.h"

using namespace nettlestand::tier;

namespace {

// A simulated cluster that exchanges shuffles in rounds, with message loss, stopped nodes and a partition.
// The first three nodes are the seeds.
class Cluster {
 public:
  Cluster(std::size_t size, std::size_t core, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) add(i < core);
  }
  void add(bool core) {
    const std::size_t i = views_.size();
    NodeInfo node{};
    node.name = "node-" + std::to_string(i);
    node.address = address(i);
    node.is_core = core;
    node.generation = 1;
    views_.push_back(std::make_unique<PartialView>(
        node, std::vector<std::string>{address(0), address(1), address(2)}, i + 1));
    down_.push_back(false);
  }
  // Lets each running node begin one shuffle; each message is lost with probability `loss`.
  void round(double loss = 0) {
    now_ += 1200;
    for (std::size_t i = 0; i < views_.size(); ++i) {
      if (down_[i]) continue;
      const auto next = views_[i]->start_shuffle(now_);
      if (!next) continue;
      const std::size_t to = std::stoul(next->first.substr(next->first.find(':') + 1));
      if (to >= views_.size() || down_[to] || is_partitioned(i, to) || is_lost(loss)) continue;
      const Shuffle reply = views_[to]->on_shuffle(now_, next->second, address(i));
      if (!is_lost(loss)) views_[i]->on_shuffle_reply(now_, reply);
    }
  }
  static std::string address(std::size_t i) { return "10.0.0.1:" + std::to_string(i); }
  bool knows(std::size_t i, std::size_t j) const {
    for (const NodeInfo& node : views_[i]->nodes()) {
      if (node.address == address(j)) return true;
    }
    return false;
  }
  std::size_t known(std::size_t i) const { return views_[i]->nodes().size(); }
  std::size_t core_known(std::size_t i) const { return views_[i]->core().size(); }
  void stop(std::size_t i) { down_[i] = true; }
  // Separates the nodes before the given one from the others; 0 ends the partition.
  void set_partition(std::size_t first_of_second_half) { partition_start_ = first_of_second_half; }
  std::size_t size() const { return views_.size(); }

 private:
  bool is_lost(double loss) { return static_cast<double>(random_() % 1000) < loss * 1000; }
  bool is_partitioned(std::size_t a, std::size_t b) const {
    return partition_start_ > 0 && (a < partition_start_) != (b < partition_start_);
  }
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<PartialView>> views_;
  std::vector<bool> down_;
  std::size_t partition_start_ = 0;  // 0: none
  Millis now_ = 0;
};

}  // namespace

TEST_CASE("thirteen nodes know each other after a few rounds, a third of the messages lost") {
  Cluster cluster(13, 3, 1);
  for (int i = 0; i < 8; ++i) cluster.round(0.3);
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    INFO("node " << i);
    CHECK(cluster.known(i) == 12);
    CHECK(cluster.core_known(i) == 3);
  }
}

TEST_CASE("among three hundred nodes views stay bounded and hold the whole core") {
  Cluster cluster(300, 7, 2);
  for (int i = 0; i < 30; ++i) cluster.round();
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    CHECK(cluster.known(i) <= PartialView::kCapacity);
    CHECK(cluster.core_known(i) == 7);
  }
}

TEST_CASE("a dead node is forgotten everywhere, and a later one is learned") {
  Cluster cluster(13, 3, 3);
  for (int i = 0; i < 8; ++i) cluster.round();
  cluster.stop(5);
  cluster.add(false);
  for (int i = 0; i < 24; ++i) cluster.round();
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (i == 5) continue;
    INFO("node " << i);
    CHECK_FALSE(cluster.knows(i, 5));
    CHECK((i == 13 || cluster.knows(i, 13)));
  }
}

TEST_CASE("halves that had forgotten each other meet again by the seeds") {
  Cluster cluster(12, 3, 4);
  for (int i = 0; i < 6; ++i) cluster.round();
  cluster.set_partition(6);
  for (int i = 0; i < 25; ++i) cluster.round();
  REQUIRE_FALSE(cluster.knows(8, 4));
  cluster.set_partition(0);
  for (int i = 0; i < 25; ++i) cluster.round();
  for (std::size_t i = 0; i < cluster.size(); ++i) CHECK(cluster.known(i) == 11);
}

TEST_CASE("a node that was started again replaces what was known of it, and an older word does not") {
  NodeInfo self{};
  self.name = "a";
  self.address = "10.0.0.1:1";
  PartialView view(self, {}, 1);
  const auto disk_id_after_update = [&](std::uint64_t generation, std::uint64_t heartbeat,
                                        std::uint64_t disk) {
    NodeInfo node{};
    node.name = "b";
    node.address = "10.0.0.1:2";
    node.generation = generation;
    node.heartbeat = heartbeat;
    node.disk_id = disk;
    Shuffle shuffle{};
    shuffle.nodes.push_back(node);
    view.on_shuffle_reply(100, shuffle);
    return view.nodes().front().disk_id;
  };
  CHECK(disk_id_after_update(5, 10, 1) == 1);
  CHECK(disk_id_after_update(5, 9, 2) == 1);
  CHECK(disk_id_after_update(6, 1, 3) == 3);
  CHECK(disk_id_after_update(5, 99, 4) == 3);
}
