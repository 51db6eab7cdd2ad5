"""Delegation of head reads to nodes that can reach the platform."""

from random import Random

import curio

from auburnjunction.base.logs import log_event
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.schema import control_pb2 as pb

# Nodes asked in one attempt. There are few, as the platform may be down for
# all of them.
BATCH_SIZES = (2, 4)
# A node that can reach the platform usually responds within this time.
BATCH_INTERVAL_S = 0.3


class ReadDelegator:
    """Finds a node that reads the head for a reader that cannot.

    Each attempt asks a few nodes of the data centre whether the platform
    responds to them: the previous delegate and the other readers first, then
    others, each once before any is asked again. Only the first that confirms
    it reads the head, as that takes seconds on a narrow link.
    """

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        puller: Puller,
        random: Random,
    ):
        self._cfg = cfg
        self._view = view
        self._puller = puller
        self._random = random
        self._delegate: str | None = None
        self._failed: set[str] = set()

    async def find(self) -> Node | None:
        """Return a node that can read the head, or None."""
        nodes = self._choose_candidates(sum(BATCH_SIZES))
        found = curio.Event()
        async with curio.TaskGroup(wait=object) as group:
            for size in BATCH_SIZES:
                for node in nodes[:size]:
                    await group.spawn(self._check, node, found)
                del nodes[:size]
                async with curio.ignore_after(BATCH_INTERVAL_S):
                    await found.wait()
                if found.is_set() or not nodes:
                    break
        return group.result if found.is_set() else None

    async def assign(self, node: Node) -> bool:
        """Have a node read the head; return whether its revision is known."""
        if not await self._puller.try_pull(node.address, pb.HEAD_REQUEST_READ):
            self._failed.add(node.node)
            return False
        if node.node != self._delegate:
            log_event("delegated reads of the head", delegate=node.node)
        self._delegate = node.node
        return True

    def reset(self) -> None:
        """Forget the delegate, as this node can read the head again."""
        self._delegate = None
        self._failed.clear()

    async def _check(self, node: Node, found: curio.Event) -> Node | None:
        self._failed.add(node.node)
        if not await self._puller.try_pull(
            node.address, pb.HEAD_REQUEST_CHECK
        ):
            return None
        self._failed.discard(node.node)
        await found.set()
        return node

    def _choose_candidates(self, count: int) -> list[Node]:
        """Return local peers, those that have not failed yet first."""
        nodes = self._view.list_local()
        if all(node.node in self._failed for node in nodes):
            self._failed.clear()
        self._random.shuffle(nodes)
        readers = self._view.choose_readers(self._cfg.readers)
        nodes.sort(
            key=lambda node: (
                node.node in self._failed,
                node.node != self._delegate,
                node.node not in readers,
                -node.link_mbps,
            )
        )
        return nodes[:count]
