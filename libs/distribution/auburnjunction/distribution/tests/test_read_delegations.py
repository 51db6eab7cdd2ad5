"""Choice of the node that reads the head for a reader that cannot."""

import collections
import random

import attrs
import curio
import pytest

from auburnjunction.distribution.peers import PeerView
from auburnjunction.distribution.read_delegations import (
    BATCH_SIZES,
    ReadDelegator,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.tests.support import Directory, FakeNode
from auburnjunction.http.clients import Address
from auburnjunction.schema import control_pb2 as pb

READER = "n0"
CFG = DistributionSettings()


@attrs.define
class RecordingPuller:
    """Records requests; the nodes in reachable reach the platform."""

    reachable: set[str]
    requests: list[tuple[str, int]] = attrs.field(factory=list)

    async def try_pull(self, address, head):
        self.requests.append((address.host, head))
        return address.host in self.reachable

    def count(self, head):
        """Return how often each node was sent a kind of request."""
        return collections.Counter(n for n, h in self.requests if h == head)


def make_delegator(puller, node_count, widest=()):
    directory = Directory()
    directory.nodes = [
        FakeNode(f"n{i}", "dc0", Address(f"n{i}", 1))
        for i in range(node_count)
    ]
    for node in directory.nodes:
        node.link_mbps = 100 if node.node in widest else 10
    view = PeerView(directory, READER, "dc0")
    return ReadDelegator(CFG, view, puller, random.Random(1))


# Guards against nodes on narrow links that all read the configuration at once
# when a platform that was down for all of them returns.
@pytest.mark.parametrize("reachable_count", [1, 6, 24])
def test_one_node_reads_however_many_could(reachable_count):
    names = {f"n{i}" for i in range(1, 25)}
    puller = RecordingPuller(set(sorted(names)[:reachable_count]))
    delegator = make_delegator(puller, 25)

    async def main():
        for _ in range(5):
            node = await delegator.find()
            if node is not None and await delegator.assign(node):
                return node.node
        return None

    assert curio.run(main) in puller.reachable
    assert sum(puller.count(pb.HEAD_REQUEST_READ).values()) == 1


# Guards against calls of the whole data centre to a platform that is down,
# and against a node that could read and is never asked.
def test_each_node_is_asked_once_before_any_is_asked_again():
    puller = RecordingPuller(set())
    delegator = make_delegator(puller, 1 + 2 * sum(BATCH_SIZES))

    async def main():
        for attempt in range(1, 5):
            assert await delegator.find() is None
            asked = puller.count(pb.HEAD_REQUEST_CHECK)
            assert sum(asked.values()) == attempt * sum(BATCH_SIZES)
            assert set(asked.values()) <= {attempt // 2, (attempt + 1) // 2}

    curio.run(main)


def test_wide_links_are_asked_first_and_the_delegate_is_kept():
    puller = RecordingPuller({"n7"})
    delegator = make_delegator(puller, 25, widest=("n7", "n9"))

    async def main():
        node = await delegator.find()
        assert node.node == "n7"
        assert await delegator.assign(node)
        puller.requests.clear()
        assert (await delegator.find()).node == "n7"
        assert len(puller.requests) <= BATCH_SIZES[0]
        delegator.reset()

    curio.run(main)
