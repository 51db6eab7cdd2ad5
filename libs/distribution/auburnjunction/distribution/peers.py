"""Nodes that a node can exchange revisions with."""

from collections.abc import Iterable
from typing import Protocol

import xxhash

from auburnjunction.http.clients import Address
from auburnjunction.schema import control_pb2 as pb

# Least bandwidth of a reader's link, as a share of the widest.
READER_LINK_SHARE = 0.5


class Node(Protocol):
    """One node as membership knows it."""

    node: str
    data_centre: str
    # Address of the listener for other nodes.
    address: Address
    state: int
    revision: int
    # Bandwidth of its host's link in Mbit/s; 0 where that is not known.
    link_mbps: int


class PeerDirectory(Protocol):
    """Source of the nodes; membership in a running node."""

    def list_nodes(self, data_centre: str | None) -> list[Node]:
        """Return the nodes of a data centre, or of all."""


def is_alive(node: Node) -> bool:
    """Tell whether a node should be counted on."""
    return node.state == pb.NODE_STATE_ALIVE


def choose_readers(
    names: Iterable[str], data_centre: str, count: int
) -> list[str]:
    """Return the nodes that read the head, by rendezvous hashing.

    Nodes with the same view choose the same readers, and a node that
    comes or goes moves no reader but its own.
    """

    def weigh(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{data_centre}/{name}".encode())

    return sorted(names, key=lambda name: (weigh(name), name))[:count]


class PeerView:
    """The live peers of one node, seen from that node."""

    def __init__(self, directory: PeerDirectory, node: str, data_centre: str):
        self.node = node
        self.data_centre = data_centre
        self._directory = directory

    def list_peers(self, data_centre: str | None = None) -> list[Node]:
        """Return the live nodes of a data centre, or of all, but this."""
        return [
            node
            for node in self._directory.list_nodes(data_centre)
            if is_alive(node) and node.node != self.node
        ]

    def list_local(self) -> list[Node]:
        """Return the live peers of this node's own data centre."""
        return self.list_peers(self.data_centre)

    def group_remote(self) -> dict[str, list[Node]]:
        """Return the live nodes of the other data centres."""
        groups: dict[str, list[Node]] = {}
        for node in self.list_peers():
            if node.data_centre != self.data_centre:
                groups.setdefault(node.data_centre, []).append(node)
        return groups

    def find(self, names: Iterable[str]) -> list[Node]:
        """Return the live peers with these names, in their order."""
        by_name = {node.node: node for node in self.list_peers()}
        return [by_name[name] for name in names if name in by_name]

    def choose_readers(self, count: int) -> list[str]:
        """Return the names of this data centre's readers.

        A configuration of 2,000 routes takes two seconds on the narrowest
        links, so that the widest ones read it for the others.
        """
        nodes = [
            node
            for node in self._directory.list_nodes(self.data_centre)
            if is_alive(node) or node.node == self.node
        ]
        widest = max((node.link_mbps for node in nodes), default=0)
        least = widest * READER_LINK_SHARE
        names = {node.node for node in nodes if node.link_mbps >= least}
        if not widest:
            names.add(self.node)
        return choose_readers(names, self.data_centre, count)
