"""Indexed view of all nodes and their backend servers."""

from collections.abc import Iterable

from auburnjunction.membership.records import Node, hash_text, merge_records
from auburnjunction.model.services import Instance, InstanceState

PART_COUNT = 64
INSTANCE_RANKS = {
    InstanceState.READY: 0,
    InstanceState.STARTING: 1,
    InstanceState.LEAVING: 2,
    InstanceState.GONE: 3,
}
_DIGEST32_MASK = 0xFFFFFFFF


class View:
    """Records by node, indexed by data centre and by service.

    The cost of a change depends on the size of the changed record, not
    on the number of nodes.
    """

    def __init__(self):
        self.digest = 0
        self.part_digests = [0] * PART_COUNT
        self._records: dict[str, Node] = {}
        self._data_centres: dict[str, dict[str, Node]] = {}
        self._parts: list[set[str]] = [set() for _ in range(PART_COUNT)]
        self._services: dict[str, dict[str, Node]] = {}
        self._instance_nodes: dict[str, tuple[str, ...]] = {}
        self._ready: dict[str, tuple[Instance, ...]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node: str) -> Node | None:
        """Return the record of a node, or None if there is none."""
        return self._records.get(node)

    def list_nodes(self, data_centre: str | None = None) -> Iterable[Node]:
        """Return all records, or those of one data centre."""
        if data_centre is None:
            return self._records.values()
        return self._data_centres.get(data_centre, {}).values()

    def list_data_centres(self) -> list[str]:
        """Return the sorted names of data centres with a record."""
        return sorted(self._data_centres)

    def merge(self, record: Node) -> bool:
        """Store a record if it is newer; return whether it was.

        The higher revision is kept if the record is not newer.
        """
        current = self._records.get(record.node)
        if current is None:
            self._add_indexes(record)
            return True
        if record.order <= current.order:
            self.update_revision(record)
            return False
        self._remove_indexes(current)
        self._add_indexes(merge_records(current, record))
        return True

    def update_revision(self, record: Node) -> None:
        """Keep the higher revision of an older record."""
        current = self._records[record.node]
        merged = merge_records(current, record)
        if merged is not current:
            self._remove_indexes(current)
            self._add_indexes(merged)

    def remove(self, node: str) -> None:
        """Remove the record of a node."""
        record = self._records.get(node)
        if record is not None:
            self._remove_indexes(record)

    def list_part(self, part: int) -> list[Node]:
        """Return the records of one hash part of the view."""
        return [self._records[node] for node in self._parts[part]]

    def find_ready(self, service: str) -> tuple[Instance, ...]:
        """Return the ready backend servers of a service."""
        ready = self._ready.get(service)
        if ready is None:
            ready = tuple(self._collect_ready(service))
            self._ready[service] = ready
        return ready

    def find_instance(self, instance: str) -> Instance | None:
        """Return a backend server in any state, or None if unknown.

        If several nodes report it, as after a move, the one in the most
        usable state is returned, see INSTANCE_RANKS.
        """
        found = [
            item
            for node in self._instance_nodes.get(instance, ())
            for item in self._records[node].instances
            if item.instance == instance
        ]
        return min(found, key=_rank_instance, default=None)

    def list_instances(self) -> list[Instance]:
        """Return every backend server in any state."""
        return [i for r in self._records.values() for i in r.instances]

    def _collect_ready(self, service: str) -> Iterable[Instance]:
        for record in self._services.get(service, {}).values():
            if not record.is_usable:
                continue
            for item in record.instances:
                if (
                    item.service == service
                    and item.state is InstanceState.READY
                ):
                    yield item

    def _add_indexes(self, record: Node) -> None:
        node = record.node
        self._records[node] = record
        self._data_centres.setdefault(record.data_centre, {})[node] = record
        self._parts[part_of(node)].add(node)
        self._toggle_digest(record)
        for item in record.instances:
            self._services.setdefault(item.service, {})[node] = record
            nodes = self._instance_nodes.get(item.instance, ())
            if node not in nodes:
                self._instance_nodes[item.instance] = (*nodes, node)
            self._ready.pop(item.service, None)

    def _remove_indexes(self, record: Node) -> None:
        node = record.node
        del self._records[node]
        _remove_nested(self._data_centres, record.data_centre, node)
        self._parts[part_of(node)].discard(node)
        self._toggle_digest(record)
        for item in record.instances:
            _remove_nested(self._services, item.service, node)
            nodes = self._instance_nodes.pop(item.instance, ())
            rest = tuple(name for name in nodes if name != node)
            if rest:
                self._instance_nodes[item.instance] = rest
            self._ready.pop(item.service, None)

    def _toggle_digest(self, record: Node) -> None:
        digest = record.digest
        part = part_of(record.node)
        self.digest ^= digest
        self.part_digests[part] ^= digest & _DIGEST32_MASK


def part_of(node: str) -> int:
    """Return the index of the hash part that holds a node."""
    return hash_text(node) % PART_COUNT


def _rank_instance(instance: Instance) -> tuple[int, str]:
    return (INSTANCE_RANKS[instance.state], instance.node)


def _remove_nested(index: dict[str, dict], outer: str, inner: str) -> None:
    items = index.get(outer)
    if items is None:
        return
    items.pop(inner, None)
    if not items:
        del index[outer]
