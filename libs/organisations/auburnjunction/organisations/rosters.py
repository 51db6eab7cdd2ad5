"""Nodes among which quotas are divided, and the home nodes of organisations.

Every node computes both from its own view of the membership.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable

import attrs

from auburnjunction.http.clients import Address
from auburnjunction.membership.records import Node, NodeState, hash_text

# Time for which a node that was lost still counts. It may be cut off and go
# on with its own parts, so that this must exceed the longest partition.
LOST_HOLD_S = 3600.0
# Time for which a node that has announced its leaving still counts: the
# longest window and a drain.
LEFT_HOLD_S = 60.0
# Time for which earlier views are kept: the longest wait of a home node with
# windows of up to half a minute.
HISTORY_S = 40.0

NodeLister = Callable[[], Iterable[Node]]
DataCentreLister = Callable[[], frozenset[str]]


@attrs.define(slots=True)
class KnownNode:
    """What is remembered of a node."""

    data_centre: str
    address: Address
    state: NodeState
    seen_s: float
    has_left: bool = False


class Roster:
    """Nodes that are live, and those that were known recently."""

    def __init__(
        self,
        node: str,
        list_nodes: NodeLister,
        list_unreachable: DataCentreLister = frozenset,
    ):
        self._node = node
        self._list_nodes = list_nodes
        self._list_unreachable = list_unreachable
        # Nodes that the membership lists or that count; those that count.
        self._known: dict[str, KnownNode] = {}
        self._counted: tuple[str, ...] = (node,)
        self._counts: Counter[str] = Counter()
        self._live: tuple[str, ...] = (node,)
        # Highest number of nodes that another node has named, and when.
        self._told_count = 0
        self._told_s = 0.0
        # Earlier and present live nodes, with the times of the changes.
        self._history: deque[tuple[float, tuple[str, ...]]] = deque()
        self._homes: dict[str, str] = {}
        self._ranks: dict[str, int | None] = {}
        # Rises with every change, so that others may cache results.
        self.version = 0

    @property
    def node_count(self) -> int:
        """Number of nodes that may spend an equal part."""
        return max(len(self._counted), self._told_count)

    def count_by_data_centre(self) -> Counter[str]:
        """Return the number of nodes that count in each data centre."""
        return self._counts

    def list_live(self, data_centre: str) -> list[str]:
        """Return the other live nodes of a data centre."""
        return [
            name
            for name in self._live
            if name != self._node
            and self._known[name].data_centre == data_centre
        ]

    def find_data_centre(self, node: str) -> str:
        """Return the data centre of a node; empty if it is unknown."""
        known = self._known.get(node)
        return known.data_centre if known else ""

    def refresh(self, now_s: float) -> None:
        """Read the view of the membership."""
        before = (self._live, self._counted, self._told_count)
        unreachable = self._list_unreachable()
        records = list(self._list_nodes())
        for record in records:
            self._remember(record, now_s)
        self._live = tuple(
            sorted(
                record.node
                for record in records
                if record.is_usable and record.data_centre not in unreachable
            )
        ) or (self._node,)
        if not self._history or self._history[-1][1] != self._live:
            self._history.append((now_s, self._live))
        while len(self._history) > 1 and (
            now_s - self._history[1][0] > HISTORY_S
        ):
            self._history.popleft()
        self._forget({record.node for record in records}, now_s)
        if (self._live, self._counted, self._told_count) != before:
            self._homes.clear()
            self._ranks.clear()
            self.version += 1

    def learn_count(self, count: int, now_s: float) -> None:
        """Adopt the number of nodes that another node knows, if higher.

        A node that has restarted in a part that is cut off sees fewer.
        """
        if count > max(self._told_count, len(self._counted)):
            self._told_count = count
            self._told_s = now_s
            self.version += 1

    def find_home(self, organisation: str) -> str:
        """Return the home node of an organisation; empty if none is live."""
        home = self._homes.get(organisation)
        if home is None:
            home = self._homes[organisation] = choose_home(
                organisation, self._live
            )
        return home

    def was_home(self, organisation: str, since_s: float) -> bool:
        """Return whether this node was the home node all the time.

        Return False for a time before the first view.
        """
        if not self._history or self._history[0][0] > since_s:
            return False
        changes_s = [time_s for time_s, _ in self._history] + [math.inf]
        return all(
            choose_home(organisation, live) == self._node
            for end_s, (_, live) in zip(
                changes_s[1:], self._history, strict=True
            )
            if end_s > since_s
        )

    def find_predecessor(self, organisation: str) -> str:
        """Return the home node if this node did not exist; may be empty.

        Nodes that are leaving count, as they were home nodes until then.
        """
        others = [
            name
            for name, known in self._known.items()
            if name != self._node
            and (known.state is NodeState.LEAVING or name in self._live)
        ]
        return choose_home(organisation, others)

    def find_rank(self, organisation: str) -> int | None:
        """Return this node's rank among the known nodes, from 0.

        It differs by organisation. Return None if this node does not know
        all nodes that others know, as two nodes might then have one rank.
        """
        if self._told_count > len(self._counted):
            return None
        if organisation not in self._ranks:
            own = _weigh(organisation, self._node)
            self._ranks[organisation] = sum(
                _weigh(organisation, name) > own for name in self._counted
            )
        return self._ranks[organisation]

    def find_address(self, node: str) -> Address | None:
        """Return the address of a node, or None if it is unknown."""
        known = self._known.get(node)
        return known.address if known else None

    def _remember(self, record: Node, now_s: float) -> None:
        known = self._known.get(record.node)
        if known is None:
            known = self._known[record.node] = KnownNode(
                record.data_centre, record.address, record.state, now_s
            )
        if record.state is not NodeState.DEAD:
            known.seen_s = now_s
            known.address = record.address
            known.has_left = record.state is NodeState.LEAVING
        known.state = record.state

    def _forget(self, listed: set[str], now_s: float) -> None:
        counted = []
        for name, known in list(self._known.items()):
            hold_s = LEFT_HOLD_S if known.has_left else LOST_HOLD_S
            if now_s - known.seen_s <= hold_s:
                counted.append(name)
            elif name not in listed:
                del self._known[name]
        self._counted = tuple(sorted(counted)) or (self._node,)
        self._counts = Counter(
            self._known[name].data_centre for name in counted
        )
        if now_s - self._told_s > LOST_HOLD_S:
            self._told_count = 0


def choose_home(organisation: str, nodes: Iterable[str]) -> str:
    """Return the node with the greatest weight; empty without nodes."""
    return max(nodes, key=lambda name: _weigh(organisation, name), default="")


def _weigh(organisation: str, node: str) -> tuple[int, str]:
    return hash_text(f"{organisation}|{node}"), node
