"""Selection of the link nodes, which gossip with other data centres."""

from collections.abc import Iterable

from auburnjunction.membership.records import Node, NodeState, hash_text


def select_links(records: Iterable[Node], count: int) -> list[Node]:
    """Return the link nodes among the nodes of a data centre.

    Rendezvous hashing over the alive nodes: nodes with the same view
    select the same links, and the loss of a node moves at most one
    link.
    """
    alive = [r for r in records if r.state is NodeState.ALIVE]
    alive.sort(key=lambda record: hash_text(record.node))
    return alive[:count]
