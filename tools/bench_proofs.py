"""Measures how old the proofs of the configuration get on a fleet.

Nodes run as tasks of this process on loopback, in three data centres. Their
head source stands in for a store with long polls: it responds after a latency,
not at all to some nodes, or to none. Prints one line of JSON for each phase.
"""

import argparse
import random
from contextlib import AsyncExitStack

import attrs
import curio
import orjson
from absl import logging

from auburnjunction.base.clocks import SystemClock
from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.organisations import Organisation
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.node.components import PlatformAdapters
from auburnjunction.node.nodes import Node, open_node
from auburnjunction.node.settings import configure_node_settings
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable

CLOCK = SystemClock()
HOST = "127.0.0.1"
FIRST_PORT = 23_000
PORT_FIELDS = ("caller_port", "peer_port", "admin_port")
DATA_CENTRES = 3
# Time for all nodes to start and to find each other.
SETTLE_S = 8.0
PERIOD_S = 10.0
SAMPLE_INTERVAL_S = 0.05
# Latency of the stand-in, and how often it checks whether it responds again.
LATENCY_S = 0.02
RETRY_S = 0.05
SNAPSHOT = Snapshot((Service("box"),), organisations=(Organisation("one"),))
REVISED = RevisedSnapshot(RevisionMark(1, digest_snapshot(SNAPSHOT)), SNAPSHOT)


@attrs.define
class Store:
    """The head, its reads, and the data centres that it does not answer."""

    silent: set[int] = attrs.field(factory=set)
    reads: int = 0


@attrs.frozen
class StoreReader:
    """Head source of the nodes of a data centre."""

    store: Store
    data_centre: int

    async def read_mark(self, held, wait_s):
        """Return the mark, after the wait if it is held."""
        self.store.reads += 1
        await self._wait_for_response()
        if held == REVISED.mark:
            await CLOCK.sleep(wait_s)
        return REVISED.mark

    async def fetch(self, _mark):
        """Return the configuration."""
        return REVISED

    async def check(self, _timeout_s):
        """Return once the store responds."""
        await self._wait_for_response()

    async def _wait_for_response(self) -> None:
        while self.data_centre in self.store.silent:
            await CLOCK.sleep(RETRY_S)
        await CLOCK.sleep(LATENCY_S)


def configure_node(number: int, options: argparse.Namespace):
    """Return the settings of a node as on the users' machines."""
    first = FIRST_PORT + len(PORT_FIELDS) * number
    ports = {name: first + index for index, name in enumerate(PORT_FIELDS)}
    revoke_s = options.revoke_s
    return configure_node_settings(
        {
            **ports,
            "node": f"n{number}",
            "data_centre": f"dc{number % DATA_CENTRES}",
            "table_address": f"{HOST}:1",
            "object_store_address": f"{HOST}:1",
            "operators_port": 0,
            "log_level": "error",
            "membership": {"seeds": [f"{HOST}:{FIRST_PORT + 1}"]},
            "distribution": {
                "fleet_size": 100,
                "fleet_reads_per_s": 1000,
                "read_interval_s": 0.02,
                "read_wait_s": options.wait_s,
                "proof_refresh_s": 0.3 * revoke_s,
                "silence_s": 0.45 * revoke_s,
                "start_up_wait_s": 1.5,
            },
        }
    )


async def measure(label: str, store: Store, nodes: list[Node]) -> None:
    """Sample the ages of all proofs for a period and print them."""
    distributors = [node.distributor for node in nodes]
    reads = store.reads
    pulls = sum(d.stats.pulls for d in distributors)
    ages = []
    end_s = CLOCK.monotonic() + PERIOD_S
    while CLOCK.monotonic() < end_s:
        ages += [d.proof.age_s for d in distributors]
        await CLOCK.sleep(SAMPLE_INTERVAL_S)
    ages.sort()
    pulls = sum(d.stats.pulls for d in distributors) - pulls
    result = {
        "phase": label,
        "nodes": len(nodes),
        "age_p50_s": round(ages[len(ages) // 2], 2),
        "age_p99_s": round(ages[len(ages) * 99 // 100], 2),
        "age_max_s": round(ages[-1], 2),
        "reads_per_s": round((store.reads - reads) / PERIOD_S, 1),
        "pulls_per_s": round(pulls / PERIOD_S, 1),
    }
    print(orjson.dumps(result).decode(), flush=True)


async def run(options: argparse.Namespace) -> None:
    """Run all phases on one fleet."""
    store, table, nodes = Store(), MemoryTable(), []
    async with AsyncExitStack() as stack:
        for number in range(options.nodes):
            head = StoreReader(store, number % DATA_CENTRES)
            platform = PlatformAdapters(table, MemoryObjectStore(), head=head)
            cfg = configure_node(number, options)
            rng = random.Random(number)
            node = open_node(cfg, CLOCK, platform, rng)
            nodes.append(await stack.enter_async_context(node))
        await CLOCK.sleep(SETTLE_S)
        await measure("healthy", store, nodes)
        store.silent = {0}
        await measure("silent to one data centre", store, nodes)
        store.silent = set(range(DATA_CENTRES))
        await measure("silent", store, nodes)
        store.silent = set()
        await CLOCK.sleep(1.0)
        await measure("from 1 s after its return", store, nodes)


def main() -> None:
    """Run the bench."""
    logging.set_verbosity(logging.ERROR)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--revoke-s", type=float, default=5.0)
    parser.add_argument("--wait-s", type=float, default=0.6)
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
