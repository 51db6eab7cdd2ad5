"""Exchange of roll-outs and evidence with other nodes."""

import random

from absl import logging
from google.protobuf.message import DecodeError

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.peers import Node, PeerDirectory
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import (
    make_response,
    parse_message,
    post,
)
from auburnjunction.rollouts.baselines import SETTLING_S
from auburnjunction.rollouts.exchanges import (
    decode_baseline,
    decode_evidence,
    decode_rollout,
    encode_baseline,
    encode_evidence,
    encode_rollout,
)
from auburnjunction.rollouts.orders import Rollout
from auburnjunction.rollouts.selectors import FleetVersionSelector
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.statistics import RolloutStats
from auburnjunction.schema import control_pb2 as pb

EXCHANGE_TARGET = b"/rollouts"
EXCHANGE_TIMEOUT_S = 0.5
# Probability that a peer is chosen within the data centre, if there is one.
LOCAL_PROBABILITY = 0.6
# Peers that get news at once. With 4, news reaches 98 in 100 nodes before
# the regular exchanges.
PUSH_COUNT = 4


class RolloutPeers:
    """Sends and handles the messages between nodes."""

    def __init__(
        self,
        identity: NodeIdentity,
        selector: FleetVersionSelector,
        directory: PeerDirectory,
        pools: PoolRegistry,
        clock: Clock,
        rng: random.Random,
        stats: RolloutStats,
    ):
        self._identity = identity
        self._selector = selector
        self._directory = directory
        self._pools = pools
        self._clock = clock
        self._random = rng
        self._stats = stats
        # Services whose roll-out has news to push at once.
        self.news: set[str] = set()

    @property
    def node_count(self) -> int:
        """Number of known nodes that are not dead, including this one."""
        return len(self._list_peers()) + 1

    def _list_peers(self) -> list[Node]:
        return [
            node
            for node in self._directory.list_nodes(None)
            if node.state != pb.NODE_STATE_DEAD
            and node.node != self._identity.node
        ]

    def choose_peer(self) -> Node | None:
        """Return a random peer, preferably of this data centre."""
        peers = self._list_peers()
        own = self._identity.data_centre
        local = [node for node in peers if node.data_centre == own]
        if local and self._random.random() < LOCAL_PROBABILITY:
            peers = local
        return self._random.choice(peers) if peers else None

    def choose_targets(self) -> list[Node]:
        """Return the peers that get news at once."""
        peers = self._list_peers()
        return self._random.sample(peers, min(PUSH_COUNT, len(peers)))

    def adopt(self, rollout: Rollout) -> bool:
        """Merge a roll-out; log and queue it if it is news."""
        order = rollout.order
        state = self._selector.find_state(order.service)
        if not state.adopt(rollout, self.node_count):
            return False
        self.report(order.service)
        return True

    def report(self, service: str) -> None:
        """Log the roll-out of a service and queue it for pushes."""
        state = self._selector.find_state(service)
        order, phase = state.rollout.order, state.rollout.phase
        self.news.add(service)
        age_s = self._clock.monotonic() - state.rollout.started_s
        log_event(
            "roll-out",
            service=service,
            target=order.target,
            phase=phase.name.lower(),
            age_s=round(age_s, 3),
            order_version=order.version,
            share=round(state.share, 4),
            answers=state.assessment.answers,
            bad=state.assessment.bad,
            log_ratio=round(state.assessment.log_ratio, 2),
            cause=state.assessment.cause,
        )

    async def push(self, target: Node, services: set[str]) -> None:
        """Send the roll-outs of some services to a peer."""
        now_s = self._clock.monotonic()
        message = pb.RolloutExchange(sender=self._identity.node)
        for service in services:
            rollout = self._selector.find_state(service).rollout
            message.rollouts.append(encode_rollout(rollout, now_s))
        await self._send(target, message)

    async def exchange(self, target: Node) -> bool:
        """Exchange what both lack; return whether the peer responded."""
        now_s = self._clock.monotonic()
        message = pb.RolloutExchange(sender=self._identity.node)
        self._add_rollouts(message, now_s)
        for service, state in self._selector.states.items():
            if not state.is_active:
                continue
            own = state.book.select_news({})
            own = [u for u in own if u.source == self._identity.source]
            message.evidence.append(
                encode_evidence(service, state, own, now_s)
            )
        return await self._send(target, message)

    async def _send(self, target: Node, message: pb.RolloutExchange) -> bool:
        body = message.SerializeToString()
        self._stats.exchanges += 1
        try:
            content = await post(
                self._pools,
                target.address,
                EXCHANGE_TARGET,
                body,
                EXCHANGE_TIMEOUT_S,
            )
            response = parse_message(pb.RolloutExchange, content)
        except PeerUnreachableError:
            self._stats.failed_exchanges += 1
            return False
        self._stats.exchanged_bytes += len(body) + len(content)
        self._merge(response)
        return True

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /rollouts of another node."""
        try:
            message = pb.RolloutExchange.FromString(request.body)
        except DecodeError as exc:
            return HttpResponse(400, [], f"{exc}\n".encode())
        self._merge(message)
        now_s = self._clock.monotonic()
        response = pb.RolloutExchange(sender=self._identity.node)
        self._add_rollouts(response, now_s)
        for part in message.evidence:
            state = self._selector.states.get(part.service)
            if state is None or not state.is_active:
                continue
            if state.rollout.order.target != part.target:
                continue
            held = dict(
                zip(part.held_sources, part.held_sequences, strict=False)
            )
            updates = state.book.select_news(held)
            evidence = encode_evidence(part.service, state, updates, now_s)
            evidence.ClearField("held_sources")
            evidence.ClearField("held_sequences")
            response.evidence.append(evidence)
        self._stats.exchanged_bytes += len(request.body)
        return make_response(response)

    def _add_rollouts(self, message: pb.RolloutExchange, now_s) -> None:
        for service, state in self._selector.states.items():
            if state.rollout is not None:
                message.rollouts.append(encode_rollout(state.rollout, now_s))
            baseline = state.baseline
            if baseline is not None and now_s - baseline.since_s > SETTLING_S:
                message.baselines.append(
                    encode_baseline(service, baseline, now_s)
                )

    def _merge(self, message: pb.RolloutExchange) -> None:
        now_s = self._clock.monotonic()
        try:
            for record in message.rollouts:
                self.adopt(decode_rollout(record, now_s))
            for part in message.evidence:
                evidence = decode_evidence(part, now_s)
                state = self._selector.states.get(evidence.service)
                if state is None or state.rollout is None:
                    continue
                if state.rollout.order.target == evidence.target:
                    state.book.merge(evidence.updates)
        except ValueError as exc:
            log_event(
                "malformed message of roll-outs",
                logging.WARNING,
                sender=message.sender,
                reason=str(exc),
            )
        for record in message.baselines:
            state = self._selector.find_state(record.service)
            state.adopt_baseline(decode_baseline(record, now_s))
