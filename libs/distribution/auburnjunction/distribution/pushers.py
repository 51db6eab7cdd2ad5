"""Pushing of the revision in force along a bounded fan-out tree."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from auburnjunction.base.logs import log_event
from auburnjunction.distribution.background_tasks import BackgroundTasks
from auburnjunction.distribution.errors import PeerError
from auburnjunction.distribution.exchanges import PUSH_PATH, PeerClient
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.revisions import (
    RecentRevisions,
    decode_mark,
    encode_mark,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address
from auburnjunction.model.snapshots import RevisionMark
from auburnjunction.schema import control_pb2 as pb

MarkListener = Callable[[RevisionMark, Address], Awaitable[None]]


class Pusher:
    """Pushes the revision in force on this node to other nodes."""

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        client: PeerClient,
        holder: SnapshotHolder,
        recent: RecentRevisions,
        stats: DistributionStats,
        random: Random,
        on_mark: MarkListener,
        background: BackgroundTasks,
    ):
        self._cfg = cfg
        self._view = view
        self._client = client
        self._holder = holder
        self._recent = recent
        self._stats = stats
        self._random = random
        self._on_mark = on_mark
        self._background = background
        self._pushed_revision = 0
        # Other data centres that a task is pushing to.
        self._active_data_centres: set[str] = set()

    async def push_to_all(self) -> None:
        """Start pushes to this and to every other data centre."""
        await self.push_local()
        await self.push_remote()

    async def push_local(self) -> None:
        """Start a push to every node of this data centre, once a revision."""
        revision = self._holder.mark.revision
        if revision <= self._pushed_revision:
            return
        self._pushed_revision = revision
        nodes = self._view.list_local()
        self._random.shuffle(nodes)
        await self.push_tree(nodes)

    async def push_remote(self) -> None:
        """Start pushes to some nodes of each other data centre.

        There is one task for each data centre, as one that is cut off takes
        seconds: a revision that comes into force meanwhile is pushed next.
        """
        for data_centre in self._view.group_remote():
            if data_centre not in self._active_data_centres:
                self._active_data_centres.add(data_centre)
                await self._background.spawn(
                    self._push_to_data_centre, data_centre
                )

    async def push_tree(self, nodes: list[Node]) -> None:
        """Start pushes to fan_out of the nodes, which forward to the rest."""
        if nodes:
            await self._background.spawn(self._push_tree, nodes)

    async def _push_tree(self, nodes: list[Node]) -> None:
        branches = [
            nodes[i :: self._cfg.fan_out] for i in self._branch_indexes()
        ]
        async with curio.TaskGroup() as group:
            for branch in branches:
                if branch:
                    await group.spawn(self._push_branch, branch)

    def record_pushed(self, revision: int) -> None:
        """Record a revision that is being pushed in this data centre."""
        self._pushed_revision = max(self._pushed_revision, revision)

    def _branch_indexes(self) -> range:
        return range(self._cfg.fan_out)

    async def _push_branch(self, nodes: list[Node]) -> None:
        """Push to the first node, which forwards to the others.

        Without a response within push_repeat_s, the connection may have been
        lost with the push on it: push again, and do not wait for the first
        node with the others.
        """
        child, rest = nodes[0], nodes[1:]
        async with curio.TaskGroup() as group:
            first = await group.spawn(self._push, child, rest, False)
            async with curio.ignore_after(self._cfg.push_repeat_s):
                await first.wait()
            if first.terminated and first.result:
                return
            if rest:
                await group.spawn(self._push_tree, rest)
            await self._push(child, [], spread=False)

    async def _push_to_data_centre(self, data_centre: str) -> None:
        """Push to another data centre until it has the revision in force."""
        pushed_revision = 0
        try:
            while pushed_revision < self._holder.mark.revision:
                pushed_revision = self._holder.mark.revision
                await self._push_copies(data_centre)
        finally:
            self._active_data_centres.discard(data_centre)

    async def _push_copies(self, data_centre: str) -> None:
        """Push to remote_copies nodes of another data centre.

        The first one that responds also pushes within its data centre.
        """
        nodes = self._view.list_peers(data_centre)
        self._random.shuffle(nodes)
        acknowledged = 0
        for node in nodes:
            if await self._push(node, [], spread=acknowledged == 0):
                acknowledged += 1
            if acknowledged == self._cfg.remote_copies:
                return

    async def _push(
        self, node: Node, targets: list[Node], spread: bool
    ) -> bool:
        request = pb.PushRequest(
            mark=encode_mark(self._holder.mark),
            delta=self._recent.make_latest_delta(),
            targets=[target.node for target in targets],
            spread=spread,
        )
        try:
            response = await self._send(node, request)
            if response.need_snapshot:
                self._set_content(request, decode_mark(response.mark))
                response = await self._send(node, request)
        except PeerError as exc:
            log_event("push failed", peer=node.node, reason=exc.message)
            return False
        mark = decode_mark(response.mark)
        if mark.revision > self._holder.mark.revision:
            await self._on_mark(mark, node.address)
        return True

    def _set_content(
        self, request: pb.PushRequest, have: RevisionMark
    ) -> None:
        """Set the content that a node with the given mark needs."""
        request.ClearField("delta")
        request.mark.CopyFrom(encode_mark(self._holder.mark))
        delta = self._recent.make_delta(have)
        if delta is not None and have.revision:
            request.delta.CopyFrom(delta)
        else:
            request.snapshot = self._recent.encoded_snapshot

    async def _send(
        self, node: Node, request: pb.PushRequest
    ) -> pb.PushResponse:
        self._stats.pushes += 1
        return await self._client.post(
            node.address,
            PUSH_PATH,
            request,
            pb.PushResponse,
            self._cfg.push_timeout_s,
            node.data_centre != self._view.data_centre,
        )
