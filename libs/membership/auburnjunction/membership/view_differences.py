"""Comparison of the hash parts of two views for anti-entropy."""

from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.views import View
from auburnjunction.schema import control_pb2 as pb

# A response takes no further parts once it has this many keys, which
# bounds its size for any number of nodes.
MAX_KEYS = 64


def compare_keys(view: View, parts, keys) -> tuple[list[Node], list[str]]:
    """Return records that are newer here, and nodes that are newer there.

    The first are to be sent to the peer, the records of the second to be
    requested from it. The keys are those of all of the peer's records in
    the parts.
    """
    newer = []
    wanted = []
    named = set()
    for key in keys:
        named.add(key.node)
        current = view.get(key.node)
        order = _make_order(key)
        if current is None or current.order < order:
            wanted.append(key.node)
        elif current.order > order:
            newer.append(current)
    for part in parts:
        newer += [
            record
            for record in view.list_part(part)
            if record.node not in named and record.state is not NodeState.DEAD
        ]
    return newer, wanted


def add_differing_parts(
    view: View, part_digests, response: pb.GossipResponse, first: int
) -> None:
    """Add parts with different digests and their keys to a response.

    The comparison starts at the part `first`; callers pass a random one,
    so that every part is compared in the end despite MAX_KEYS.
    """
    count = len(view.part_digests)
    if len(part_digests) != count:
        return
    for offset in range(count):
        part = (first + offset) % count
        if view.part_digests[part] == part_digests[part]:
            continue
        response.parts.append(part)
        response.keys.extend(_make_key(r) for r in view.list_part(part))
        if len(response.keys) >= MAX_KEYS:
            return


def _make_key(record: Node) -> pb.RecordKey:
    return pb.RecordKey(
        node=record.node,
        incarnation=record.incarnation,
        version=record.version,
        state=record.state,
    )


def _make_order(key: pb.RecordKey) -> tuple:
    is_dead = key.state == NodeState.DEAD
    return (key.incarnation, is_dead, key.version, key.state)
