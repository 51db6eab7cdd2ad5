"""Records of nodes, their order, and their protobuf messages.

The records of one node are totally ordered, so that merging them by
taking the greater is commutative, associative and idempotent.
"""

from collections.abc import Iterable
from enum import IntEnum

import attrs
import xxhash

from auburnjunction.http.clients import Address
from auburnjunction.membership.departures import Departure
from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.schema import control_pb2 as pb


class NodeState(IntEnum):
    """State of a node; the numbers are those of the schema."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@attrs.frozen(slots=True)
class Node:
    """Record of a node and its backend servers.

    Only the node itself raises incarnation and version. Other nodes may
    only set its state to suspect or dead, without changing either.
    """

    node: str
    data_centre: str
    address: Address
    state: NodeState
    incarnation: int
    version: int
    revision: int = 0
    instances: tuple[Instance, ...] = ()
    # Bandwidth of the host's network link in Mbit/s; 0 if unknown.
    link_mbps: int = 0
    # Latest departures that the node has acknowledged.
    departures: tuple[Departure, ...] = ()

    @property
    def order(self) -> tuple[int, bool, int, NodeState]:
        """Ordering key of the node's records; the newer one is greater.

        Dead outranks every version of the same incarnation, so that a
        delayed record cannot bring a dead node back.
        """
        is_dead = self.state is NodeState.DEAD
        return (self.incarnation, is_dead, self.version, self.state)

    @property
    def is_usable(self) -> bool:
        """Whether new calls may go to this node's backend servers."""
        return self.state in (NodeState.ALIVE, NodeState.SUSPECT)

    @property
    def digest(self) -> int:
        """64-bit hash of the fields that identify this version.

        It is 0 for a dead record, so that removing a tombstone leaves
        the digest of the view unchanged.
        """
        if self.state is NodeState.DEAD:
            return 0
        key = f"{self.node}|{self.incarnation}|{self.version}|{self.state:d}"
        return hash_text(key)


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same on every node."""
    return xxhash.xxh3_64_intdigest(text.encode())


def merge_records(first: Node, second: Node) -> Node:
    """Return the newer of two records of one node.

    Its revision is the highest that either record has for the newer
    one's incarnation.
    """
    newer, older = first, second
    if second.order > first.order:
        newer, older = second, first
    if older.incarnation == newer.incarnation and (
        older.revision > newer.revision
    ):
        newer = attrs.evolve(newer, revision=older.revision)
    return newer


def make_tombstone(record: Node) -> Node:
    """Return the dead record of the same incarnation of a node."""
    return attrs.evolve(record, state=NodeState.DEAD, instances=())


def encode_instance(instance: Instance) -> pb.InstanceRecord:
    """Encode a backend server as a protobuf message."""
    return pb.InstanceRecord(
        instance=instance.instance,
        service=instance.service,
        state=instance.state,
        slots=instance.slots,
        load_percent=instance.load_percent,
        resources=instance.resources,
        born_ms=instance.born_ms,
        version=instance.version,
    )


def encode_departures(
    departures: Iterable[Departure],
) -> list[pb.DepartureRecord]:
    """Encode departures as protobuf messages."""
    return [
        pb.DepartureRecord(instance=d.instance, born_ms=d.born_ms)
        for d in departures
    ]


def decode_departures(messages) -> tuple[Departure, ...]:
    """Decode departures from protobuf messages."""
    return tuple(Departure(m.instance, m.born_ms) for m in messages)


def encode_record(record: Node) -> pb.NodeRecord:
    """Encode a record as a protobuf message."""
    return pb.NodeRecord(
        node=record.node,
        data_centre=record.data_centre,
        host=record.address.host,
        peer_port=record.address.port,
        incarnation=record.incarnation,
        version=record.version,
        state=record.state,
        instances=[encode_instance(i) for i in record.instances],
        revision=record.revision,
        link_mbps=record.link_mbps,
        departures=encode_departures(record.departures),
    )


def decode_record(message: pb.NodeRecord) -> Node:
    """Decode a record from a protobuf message.

    Raise ValueError if the node or data centre is empty or a state is
    unknown.
    """
    if not message.node or not message.data_centre:
        raise ValueError(
            f"record without node or data centre: node={message.node!r}, "
            f"data_centre={message.data_centre!r}"
        )
    return Node(
        node=message.node,
        data_centre=message.data_centre,
        address=Address(message.host, message.peer_port),
        state=NodeState(message.state),
        incarnation=message.incarnation,
        version=message.version,
        revision=message.revision,
        instances=tuple(
            _decode_instance(message, item) for item in message.instances
        ),
        link_mbps=message.link_mbps,
        departures=decode_departures(message.departures),
    )


def _decode_instance(
    owner: pb.NodeRecord, message: pb.InstanceRecord
) -> Instance:
    return Instance(
        instance=message.instance,
        service=message.service,
        state=InstanceState(message.state),
        slots=message.slots,
        load_percent=message.load_percent,
        node=owner.node,
        data_centre=owner.data_centre,
        host=owner.host,
        peer_port=owner.peer_port,
        resources=tuple(message.resources),
        born_ms=message.born_ms,
        version=message.version,
    )
