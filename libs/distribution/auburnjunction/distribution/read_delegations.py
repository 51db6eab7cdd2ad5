"""Delegation of head reads to nodes that can reach the platform."""

from collections.abc import Iterator
from random import Random

import curio

from auburnjunction.base.logs import log_event
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.settings import DistributionSettings

FIRST_BATCH_SIZE = 2
# A node that can reach the platform usually responds within this time.
BATCH_INTERVAL_S = 0.3


class ReadDelegator:
    """Finds a node that reads the head for a reader that cannot.

    The previous delegate and the other readers of the data centre are asked
    first, then its other nodes, in batches that grow up to the read budget.
    After all have failed, only one batch is asked at a time.
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
        self._has_asked_all = False

    async def delegate(self) -> bool:
        """Return whether a node reads the head and its revision is known."""
        found = curio.Event()
        async with curio.TaskGroup(wait=object) as group:
            for batch in self._make_batches():
                for node in batch:
                    await group.spawn(self._ask, node, found)
                async with curio.ignore_after(BATCH_INTERVAL_S):
                    await found.wait()
                if found.is_set():
                    break
        delegate = group.result if found.is_set() else None
        if delegate is not None and delegate != self._delegate:
            log_event("delegated reads of the head", delegate=delegate)
        self._delegate = delegate
        self._has_asked_all = delegate is None
        return delegate is not None

    def reset(self) -> None:
        """Forget the delegate, as this node can read the head again."""
        self._delegate = None
        self._has_asked_all = False

    async def _ask(self, node: Node, found: curio.Event) -> str | None:
        if not await self._puller.try_pull(node.address, read_head=True):
            return None
        await found.set()
        return node.node

    def _make_batches(self) -> Iterator[list[Node]]:
        nodes = self._list_candidates()
        size = FIRST_BATCH_SIZE
        max_size = max(FIRST_BATCH_SIZE, self._find_batch_limit(len(nodes)))
        while nodes:
            yield nodes[:size]
            if self._has_asked_all:
                return
            del nodes[:size]
            size = min(2 * size, max_size)

    def _find_batch_limit(self, peer_count: int) -> int:
        """Return this reader's share of the budget for one interval."""
        share = (peer_count + 1) / self._cfg.fleet_size / self._cfg.readers
        return int(self._cfg.fleet_reads_per_s * BATCH_INTERVAL_S * share)

    def _list_candidates(self) -> list[Node]:
        """Return the local peers in the order in which they are asked."""
        nodes = self._view.list_local()
        self._random.shuffle(nodes)
        if self._has_asked_all:
            return nodes
        readers = self._view.choose_readers(self._cfg.readers)
        return sorted(
            nodes,
            key=lambda node: (
                node.node != self._delegate,
                node.node not in readers,
                -node.link_mbps,
            ),
        )
