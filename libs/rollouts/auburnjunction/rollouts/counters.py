"""Counters of evidence by node, and their sums over the fleet.

Each node counts in slices of the roll-out's time, so that a version that
turns bad late is judged by its latest answers. A slice of a node is replaced
as a whole by a later copy of it, so that copies may arrive in any order and
more than once.
"""

import math
from collections.abc import Iterable, Mapping
from enum import IntEnum

import attrs
import xxhash

# Slices of a roll-out's time.
SLICE_COUNT = 8
# Buckets of durations, two for each doubling, from 1 ms to 8 s.
BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 26
# Position of the first bucket in the values of a counter.
FIRST_BUCKET = 2


class Kind(IntEnum):
    """What a counter counts; the first two values are answers and bad ones.

    SEEN counts the requests of a route in its first value. INSTANCE is of
    an instance of the target.
    """

    TARGET = 0
    OLD = 1
    SEEN = 2
    INSTANCE = 3


Key = tuple[Kind, int]
Counts = dict[Key, list[int]]


def hash_name(name: str) -> int:
    """Return the 32-bit hash by which messages name a route or instance."""
    return xxhash.xxh32_intdigest(name.encode())


def find_bucket(duration_s: float) -> int:
    """Return the bucket of a duration."""
    if duration_s <= 0.001:
        return 0
    index = int(BUCKETS_PER_DOUBLING * math.log2(duration_s * 1000))
    return min(index, BUCKET_COUNT - 1)


def add_counts(total: Counts, counts: Mapping, sign: int = 1) -> None:
    """Add counts to a total, or subtract them."""
    for key, values in counts.items():
        sums = total.get(key)
        if sums is None:
            sums = total[key] = []
        if len(sums) < len(values):
            sums.extend([0] * (len(values) - len(sums)))
        for index, value in enumerate(values):
            if value:
                sums[index] += sign * value


@attrs.define(slots=True)
class SliceRecord:
    """Counts of one source in one slice, as of a sequence."""

    sequence: int
    counts: Counts


@attrs.define(slots=True)
class Source:
    """One incarnation of a node that counts."""

    node: str
    sequence: int = 0
    # When it published the sequence, by the local monotonic clock.
    published_s: float = -math.inf
    # Whether it sends requests to the target only.
    is_full: bool = False
    slices: dict[int, SliceRecord] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class SourceUpdate:
    """What a message holds of a source."""

    source: int
    node: str
    sequence: int
    published_s: float
    is_full: bool
    slices: dict[int, SliceRecord]


class EvidenceBook:
    """The counts of all nodes for one roll-out."""

    def __init__(self):
        self.sources: dict[int, Source] = {}
        self.sums: dict[int, Counts] = {}
        # Rises with each change of the sums.
        self.revision = 0

    def merge(self, updates: Iterable[SourceUpdate]) -> None:
        """Merge what is later than the records held."""
        for update in updates:
            self._merge_source(update)

    def _merge_source(self, update: SourceUpdate) -> None:
        source = self.sources.get(update.source)
        if source is None:
            source = self.sources[update.source] = Source(update.node)
        if update.sequence > source.sequence:
            source.sequence = update.sequence
            source.published_s = update.published_s
            source.is_full = update.is_full
        for index, record in update.slices.items():
            held = source.slices.get(index)
            if held is not None and held.sequence >= record.sequence:
                continue
            total = self.sums.setdefault(index, {})
            if held is not None:
                add_counts(total, held.counts, -1)
            add_counts(total, record.counts)
            source.slices[index] = record
            self.revision += 1

    def list_sequences(self) -> dict[int, int]:
        """Return the sequence held of each source."""
        return {name: s.sequence for name, s in self.sources.items()}

    def select_news(self, held: Mapping[int, int]) -> list[SourceUpdate]:
        """Return what a peer lacks that holds these sequences."""
        return [
            SourceUpdate(
                name,
                source.node,
                source.sequence,
                source.published_s,
                source.is_full,
                {
                    index: record
                    for index, record in source.slices.items()
                    if record.sequence > held.get(name, 0)
                },
            )
            for name, source in self.sources.items()
            if source.sequence > held.get(name, 0)
        ]

    def sum_from(self, first: int) -> Counts:
        """Return the sums of a slice and all later ones."""
        total: Counts = {}
        for index, counts in self.sums.items():
            if index >= first:
                add_counts(total, counts)
        return total

    def find_nodes(self, since_s: float) -> dict[str, bool]:
        """Return the nodes heard from since then, and whether all full."""
        nodes: dict[str, bool] = {}
        for source in self.sources.values():
            if source.published_s >= since_s:
                full = nodes.get(source.node, True) and source.is_full
                nodes[source.node] = full
        return nodes


class OwnCounters:
    """The counts of this node, published with a rising sequence."""

    def __init__(self, book: EvidenceBook, source: int, node: str):
        self._book = book
        self._source = source
        self._node = node
        self._sequence = 0
        self._slices: dict[int, Counts] = {}
        self._changed: set[int] = set()

    def count(self, index: int, key: Key, position: int) -> None:
        """Add one to a value of a counter."""
        counts = self._slices.setdefault(index, {})
        values = counts.get(key)
        if values is None:
            values = counts[key] = []
        if len(values) <= position:
            values.extend([0] * (position + 1 - len(values)))
        values[position] += 1
        self._changed.add(index)

    def publish(self, now_s: float, is_full: bool) -> None:
        """Merge the counts as of now into the book."""
        self._sequence += 1
        slices = {
            index: SliceRecord(
                self._sequence,
                {key: list(v) for key, v in self._slices[index].items()},
            )
            for index in self._changed
        }
        self._changed.clear()
        update = SourceUpdate(
            self._source, self._node, self._sequence, now_s, is_full, slices
        )
        self._book.merge([update])


def find_slice(progress: float) -> int:
    """Return the slice of a share of the roll-out's time."""
    return min(max(int(progress * SLICE_COUNT), 0), 2 * SLICE_COUNT)
