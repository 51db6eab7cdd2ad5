"""Peers of a node and the election of head readers."""

from collections.abc import Iterable
from typing import Protocol

import xxhash

from auburnjunction.http.clients import Address
from auburnjunction.schema import control_pb2 as pb

# Minimum bandwidth of a reader's link, as a share of the highest one.
MIN_READER_LINK_SHARE = 0.5


class Node(Protocol):
    """One node as listed by membership."""

    node: str
    data_centre: str
    # Address of the listener for other nodes.
    address: Address
    state: int
    revision: int
    # Bandwidth of the host's link in Mbit/s; 0 if unknown.
    link_mbps: int


class PeerDirectory(Protocol):
    """Source of the node list; implemented by membership."""

    def list_nodes(self, data_centre: str | None) -> list[Node]:
        """Return the nodes of a data centre; None means of all."""


def is_alive(node: Node) -> bool:
    """Return whether membership lists the node as alive."""
    return node.state == pb.NODE_STATE_ALIVE


def choose_readers(
    names: Iterable[str], data_centre: str, count: int
) -> list[str]:
    """Return the names of the head readers, by rendezvous hashing.

    Nodes with the same view elect the same readers, and a node that joins
    or leaves changes at most one of them.
    """

    def score(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{data_centre}/{name}".encode())

    return sorted(names, key=lambda name: (score(name), name))[:count]


class PeerView:
    """The live peers of one node."""

    def __init__(self, directory: PeerDirectory, node: str, data_centre: str):
        self.node = node
        self.data_centre = data_centre
        self._directory = directory

    def list_peers(self, data_centre: str | None = None) -> list[Node]:
        """Return the live nodes of a data centre or of all, except this."""
        return [
            node
            for node in self._directory.list_nodes(data_centre)
            if is_alive(node) and node.node != self.node
        ]

    def list_local(self) -> list[Node]:
        """Return the live peers of this node's own data centre."""
        return self.list_peers(self.data_centre)

    def group_remote(self) -> dict[str, list[Node]]:
        """Return the live nodes of each other data centre."""
        groups: dict[str, list[Node]] = {}
        for node in self.list_peers():
            if node.data_centre != self.data_centre:
                groups.setdefault(node.data_centre, []).append(node)
        return groups

    def find(self, names: Iterable[str]) -> list[Node]:
        """Return the live peers with these names, in the same order."""
        by_name = {node.node: node for node in self.list_peers()}
        return [by_name[name] for name in names if name in by_name]

    def choose_readers(self, count: int) -> list[str]:
        """Return the names of this data centre's readers.

        A configuration of 2,000 routes takes 2 s to download on the
        slowest links, so only nodes with a fast link are eligible. While
        no bandwidth is known, all nodes are, including this one.
        """
        nodes = [
            node
            for node in self._directory.list_nodes(self.data_centre)
            if is_alive(node) or node.node == self.node
        ]
        max_mbps = max((node.link_mbps for node in nodes), default=0)
        min_mbps = max_mbps * MIN_READER_LINK_SHARE
        names = {node.node for node in nodes if node.link_mbps >= min_mbps}
        if not max_mbps:
            names.add(self.node)
        return choose_readers(names, self.data_centre, count)
