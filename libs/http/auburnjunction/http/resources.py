"""Memory and descriptors of the process, shared by its connections."""

import random
import sys
from collections import Counter
from collections.abc import Callable

import attrs
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.http.budgets import (
    CONNECTION_BYTES,
    EXCHANGE_BYTES,
    HEADER_BYTES,
    MAX_WAITING,
    USUAL_HEADERS,
    Account,
    ByteBudget,
    ResourceSettings,
    Share,
)
from auburnjunction.http.errors import (
    AbandonedMessageError,
    RefusedMessageError,
)
from auburnjunction.http.messages import Headers, HttpRequest

MIN_CONNECTIONS = 8
# Idle connections that are closed for new ones at one time. Twenty times a
# second there is room for so many callers.
MAX_CLOSED_AT_ONCE = 8
# Between two tries of a message that waits for room.
POLL_INTERVAL_S = 0.02
# A listener for this host gets this part of the descriptors for other nodes.
LOCAL_DIVISOR = 4
# Part of the connections of a listener that one address may hold.
ADDRESS_SHARE = 0.9
# Retry-After, in seconds, of requests that find no room: stalled bodies end
# after 2 s under pressure. It is spread so that callers don't return at once.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0


@attrs.frozen
class ListenerBounds:
    """Bounds of the connections of one listener."""

    share: Share
    max_connections: int
    receive_buffer_bytes: int

    @property
    def max_per_address(self) -> int:
        """Connections that one client address may hold."""
        return max(1, int(self.max_connections * ADDRESS_SHARE))


@attrs.frozen
class Holder:
    """An open connection, and since when it is idle, if it is."""

    connection: object
    address: str
    idle_start_s: float | None


def choose_idle(holders: list[Holder]) -> list:
    """Return the connections to close for new ones: idle ones, if any.

    Those of the address with the most connections go first, and of these the
    ones that have been idle for longest.
    """
    counts = Counter(holder.address for holder in holders)
    idle = [h for h in holders if h.idle_start_s is not None]
    idle.sort(key=lambda h: (-counts[h.address], h.idle_start_s))
    return [h.connection for h in idle[:MAX_CLOSED_AT_ONCE]]


class ProcessResources:
    """The byte budget and the descriptors of the process."""

    def __init__(self, settings: ResourceSettings, clock: Clock):
        self.settings = settings
        self._clock = clock
        self.budget = ByteBudget(settings, clock)
        self.outgoing = 0
        fds = max(0, settings.max_fds - settings.file_fds)
        caller_fds = int(fds * settings.caller_fd_share)
        peer_fds = int(fds * settings.peer_fd_share)
        # The kernel doubles the size of a buffer for its own overhead.
        each_bytes = CONNECTION_BYTES + 2 * settings.receive_buffer_bytes
        by_memory = self.budget.connection_bytes // each_bytes
        self.callers = ListenerBounds(
            Share.SMALL,
            max(MIN_CONNECTIONS, min(caller_fds or by_memory, by_memory)),
            settings.receive_buffer_bytes,
        )
        # Nodes send no body that was refused, so their connections are
        # bounded by descriptors only.
        self.peers = ListenerBounds(
            Share.CONTROL,
            max(MIN_CONNECTIONS, peer_fds) if fds else sys.maxsize,
            settings.peer_buffer_bytes,
        )
        # The administration and heartbeat listeners serve this host only.
        self.local = ListenerBounds(
            Share.CONTROL,
            max(MIN_CONNECTIONS, peer_fds // LOCAL_DIVISOR)
            if fds
            else sys.maxsize,
            settings.receive_buffer_bytes,
        )
        outgoing_fds = int(fds * settings.outgoing_fd_share)
        # 0 means no bound.
        self.max_outgoing = max(MIN_CONNECTIONS, outgoing_fds) if fds else 0

    @property
    def stats(self):
        """Counts of the budget."""
        return self.budget.stats

    async def reserve_request(
        self, account: Account, request: HttpRequest
    ) -> None:
        """Charge head and announced body; wait for room, if need be.

        Raise RefusedMessageError if there is none.
        """
        length = int(request.header(b"content-length") or 0)
        size = request.size + EXCHANGE_BYTES + length
        size += compute_header_bytes(request.headers)
        cfg = self.settings
        if account.share is Share.CONTROL and length > cfg.small_bytes:
            # Connections between nodes have no part of the memory set aside
            # for their unread bytes.
            size += 2 * cfg.peer_buffer_bytes
        if not account.try_charge(size, length):
            await self._wait_for_room(
                account, size, lambda: account.try_charge(size, length)
            )

    async def reserve_response(
        self, account: Account, headers: Headers
    ) -> None:
        """Charge the head of a response; wait for room, if need be.

        Raise RefusedMessageError if there is none.
        """
        size = compute_header_bytes(headers)
        if size and not account.try_charge(size):
            await self._wait_for_room(
                account, size, lambda: account.try_charge(size)
            )

    async def wait_for_growth(self, account: Account, size: int) -> None:
        """Wait until the account takes more bytes of its body.

        Its progress is not checked meanwhile. Raise RefusedMessageError if
        there is no room.
        """
        was_running = account.stop_transfer()
        await self._wait_for_room(
            account, size, lambda: account.try_receive(size)
        )
        if was_running:
            account.start_transfer(self._clock.monotonic())

    async def _wait_for_room(
        self, account: Account, size: int, try_again: Callable[[], bool]
    ) -> None:
        """Wait until try_again succeeds; the size tells how much is wanted.

        Raise RefusedMessageError at once if it never can, else after the
        time for which reading may pause.
        """
        budget, cfg = self.budget, self.settings
        limit = budget.limits[account.share]
        if not budget.may_fit(account.charged_bytes + size, account.share):
            raise self._refuse("over-budget", size, limit)
        budget.record_denial()
        if budget.waiting >= MAX_WAITING:
            raise self._refuse("no-room", size, limit)
        self.stats.count("paused")
        end_s = self._clock.monotonic() + cfg.pause_s
        budget.waiting += 1
        try:
            while not try_again():
                if account.is_closed:
                    raise AbandonedMessageError("reading was given up")
                if self._clock.monotonic() >= end_s:
                    budget.record_denial()
                    raise self._refuse("no-room", size, limit)
                await self._clock.sleep(POLL_INTERVAL_S)
        finally:
            budget.waiting -= 1

    def refuse_slow_body(self, account: Account) -> RefusedMessageError:
        """Return the error that ends a body with too little progress."""
        self.stats.count("slow-body")
        return RefusedMessageError(
            "the body makes too little progress",
            "slow-body",
            account.received_bytes,
            self.settings.min_bytes_per_s,
            draw_retry_after(),
            status=408,
        )

    def record_unread_response(self, account: Account) -> None:
        """Count a connection that is closed as its peer does not read."""
        self.stats.count("slow-reader")
        log_event(
            "response not read; its connection is closed",
            logging.WARNING,
            value=account.sent_bytes,
            limit=self.settings.min_bytes_per_s,
            evidence_age_s=0.0,
        )

    def _refuse(
        self, cause: str, size: int, limit: int
    ) -> RefusedMessageError:
        self.stats.count(cause)
        used = self.budget.used_bytes
        return RefusedMessageError(
            f"no room for {size} bytes, {used} of {limit} are in use",
            cause,
            size,
            limit,
            draw_retry_after(),
        )

    def try_open_outgoing(self) -> bool:
        """Count an outgoing connection; return whether it may be opened."""
        if self.max_outgoing and self.outgoing >= self.max_outgoing:
            self.stats.count("outgoing-full")
            return False
        self.outgoing += 1
        return True

    def close_outgoing(self) -> None:
        """Count the end of an outgoing connection."""
        self.outgoing -= 1


def compute_header_bytes(headers: Headers) -> int:
    """Return what headers take beyond the usual number of them."""
    return HEADER_BYTES * max(0, len(headers) - USUAL_HEADERS)


def make_resources(
    settings: ResourceSettings, clock: Clock
) -> ProcessResources | None:
    """Return the resources of the process, or None without a limit."""
    if not settings.memory_mb:
        return None
    return ProcessResources(settings, clock)


def draw_retry_after() -> float:
    """Return a Retry-After in seconds for a request that found no room."""
    return random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
