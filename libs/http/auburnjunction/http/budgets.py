"""Byte budget of a process for the messages that it holds.

Decides only: no sockets and no tasks. Every message has an account, whose
bytes count towards the budget until the account is released. The account holds
the buffer of the message's body and clears it with its release, so that bytes
which are no longer counted are not in memory either, whoever still refers to
the message.
"""

from enum import Enum
from weakref import WeakSet

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.settings import check_range

BYTES_PER_MB = 1_000_000
# What a connection takes beside its messages: its task, the parser's state
# and a head that is being received.
CONNECTION_BYTES = 32 * 1024
# What a request in flight takes beside its bytes: its tasks and as many parsed
# headers as requests usually have.
EXCHANGE_BYTES = 8 * 1024
USUAL_HEADERS = 32
# What each further header takes beside its bytes: objects for its name and
# value, in the request as received and in the one that is sent on.
HEADER_BYTES = 256
# Steps in which the account of a chunked body grows.
GROWTH_BYTES = 64 * 1024
# Part of the memory that is for messages at least: a process whose limit is
# below own_memory_mb must still answer.
MIN_ROOM_SHARE = 0.25
# Bodies that wait for room at one time; further ones are refused at once.
MAX_WAITING = 32
# Between two checks of progress; after a longer time the process was stopped,
# and no body could have made progress.
MAX_CHECK_GAP_S = 2.0
# A refusal counts as pressure on the budget for this time.
PRESSURE_S = 1.0


class Share(Enum):
    """What a message is, which tells how much of the budget it may fill."""

    # A request body over ResourceSettings.small_bytes.
    LARGE = "large"
    # Another request of a caller.
    SMALL = "small"
    # An exchange with another node, the store or a local backend server.
    CONTROL = "control"
    # A response to a request that this process sent. The request may have
    # run, so its response comes before new requests.
    RESPONSE = "response"


@attrs.frozen
class ResourceSettings:
    """Memory and descriptors of the process; 0 means no limit."""

    memory_mb: float = attrs.field(default=0.0, validator=check_range(0, 1e6))
    max_fds: int = attrs.field(default=0, validator=check_range(0, 10**6))
    # What the process needs for itself: a node takes 32 MB, and a large
    # configuration and fragments of the heap come on top.
    own_memory_mb: float = attrs.field(
        default=56.0, validator=check_range(1, 1e6)
    )
    # Part of the remaining memory for connections and the unread bytes in
    # their socket buffers. It bounds the number of connections.
    connection_share: float = attrs.field(
        default=0.2, validator=check_range(0.01, 0.9)
    )
    # Part of the budget up to which large bodies are taken, and up to which
    # small requests are. The rest is for exchanges between nodes.
    large_share: float = attrs.field(
        default=0.7, validator=check_range(0.1, 1)
    )
    small_share: float = attrs.field(
        default=0.85, validator=check_range(0.1, 1)
    )
    # Longer bodies are large.
    small_bytes: int = attrs.field(
        default=64 * 1024, validator=check_range(1024, 10**9)
    )
    # Time for which reading pauses for room before the request is refused.
    pause_s: float = attrs.field(default=0.5, validator=check_range(0, 10))
    # A body that progresses more slowly than min_bytes_per_s for
    # progress_window_s ends. The window is longer than the idle time-out of
    # 15 s that configurations set, so a client that pauses for less goes on.
    min_bytes_per_s: float = attrs.field(
        default=256.0, validator=check_range(0, 1e9)
    )
    progress_window_s: float = attrs.field(
        default=16.0, validator=check_range(0.1, 3600)
    )
    # The same window while others are refused for lack of room.
    pressure_window_s: float = attrs.field(
        default=2.0, validator=check_range(0.1, 3600)
    )
    # SO_RCVBUF of accepted connections; the kernel doubles it. With 64 KiB, a
    # host of 200 MB had room for 175 connections, which ordinary callers reach
    # while their data centre is cut off.
    receive_buffer_bytes: int = attrs.field(
        default=16 * 1024, validator=check_range(4096, 10**8)
    )
    # The same of connections between nodes: the product of 100 Mbit/s and a
    # round trip of 24 ms is 300 kB.
    peer_buffer_bytes: int = attrs.field(
        default=160 * 1024, validator=check_range(4096, 10**8)
    )
    # Descriptors for files, and shares of the others for the connections of
    # callers, from other nodes and to other nodes. The rest is for the
    # listeners of this host, the instance and the store.
    file_fds: int = attrs.field(default=200, validator=check_range(0, 10**6))
    caller_fd_share: float = attrs.field(
        default=0.4, validator=check_range(0.05, 0.9)
    )
    peer_fd_share: float = attrs.field(
        default=0.2, validator=check_range(0.05, 0.9)
    )
    outgoing_fd_share: float = attrs.field(
        default=0.2, validator=check_range(0.05, 0.9)
    )


@attrs.define(slots=True)
class BudgetStats:
    """Counts of the budget."""

    # Refusals, ended bodies and closed connections by cause.
    causes: dict[str, int] = attrs.field(factory=dict)
    peak_bytes: int = 0
    # Accounts that were released only when their message was dropped.
    dropped: int = 0

    def count(self, cause: str) -> None:
        """Count one event of a cause."""
        self.causes[cause] = self.causes.get(cause, 0) + 1


class Account:
    """The bytes of one message and the progress of its body."""

    __slots__ = (
        "__weakref__",
        "_budget",
        "_buffers",
        "_children",
        "_limit_bytes",
        "_mark_bytes",
        "_mark_s",
        "body_bytes",
        "charged_bytes",
        "is_closed",
        "must_end",
        "received_bytes",
        "sent_bytes",
        "share",
    )

    def __init__(self, budget: "ByteBudget", share: Share):
        self._budget = budget
        self._limit_bytes = budget.limits[share]
        self.share = share
        self.charged_bytes = 0
        # The part of charged_bytes that is for the body.
        self.body_bytes = 0
        self.received_bytes = 0
        # Bytes of the response to the message that its peer has taken.
        self.sent_bytes = 0
        self.is_closed = False
        # Set on a message that must make room for others.
        self.must_end = False
        self._mark_s = 0.0
        self._mark_bytes = 0
        self._buffers: list[bytearray] = []
        self._children: list[Account] = []

    def open_child(self, share: Share) -> "Account":
        """Return an account that is released with this one at the latest."""
        child = Account(self._budget, share)
        if self.is_closed:
            child.is_closed = True
        else:
            self._children.append(child)
        return child

    def hold(self, buffer: bytearray) -> None:
        """Clear a buffer when the account is released."""
        self._buffers.append(buffer)

    def try_charge(self, size: int, body_bytes: int = 0) -> bool:
        """Charge bytes, body_bytes of them for the body, if there is room."""
        if body_bytes and self.share in (Share.SMALL, Share.CONTROL):
            total_bytes = self.body_bytes + body_bytes
            if total_bytes > self._budget.settings.small_bytes:
                self.share = Share.LARGE
                self._limit_bytes = self._budget.limits[Share.LARGE]
        if self.is_closed:
            return False
        if not self._budget._try_take(size, self._limit_bytes):
            return False
        self.charged_bytes += size
        self.body_bytes += body_bytes
        return True

    def try_receive(self, size: int) -> bool:
        """Record body bytes; return False if they don't fit yet."""
        missing_bytes = self.received_bytes + size - self.body_bytes
        if missing_bytes > 0:
            step_bytes = missing_bytes
            if self.body_bytes >= GROWTH_BYTES:
                step_bytes = max(missing_bytes, GROWTH_BYTES)
            if not self.try_charge(step_bytes, step_bytes):
                return False
        self.received_bytes += size
        return True

    def start_transfer(self, now_s: float) -> None:
        """Check from now on how the body is received, or its response sent."""
        self.must_end = False
        self._mark_s = now_s
        self._mark_bytes = self._moved_bytes
        if not self.is_closed:
            self._budget._transfers.add(self)

    def stop_transfer(self) -> bool:
        """End the check of progress; return whether it was checked."""
        was_running = self in self._budget._transfers
        self._budget._transfers.discard(self)
        return was_running

    @property
    def _moved_bytes(self) -> int:
        return self.received_bytes + self.sent_bytes

    def find_stall(self, now_s: float) -> float:
        """Return for how long the transfer is below the minimum rate."""
        moved_bytes = self._moved_bytes - self._mark_bytes
        age_s = now_s - self._mark_s
        min_bytes = self._budget.settings.min_bytes_per_s * age_s
        if moved_bytes and moved_bytes >= min_bytes:
            self._mark_s = now_s
            self._mark_bytes = self._moved_bytes
            return 0.0
        return age_s

    def delay_mark(self, delay_s: float) -> None:
        """Leave out a time in which no body could make progress."""
        self._mark_s += delay_s

    def release(self) -> None:
        """Clear the buffers and give all bytes back, with those of children.

        The bytes of a buffer that is being sent count until that ends. Further
        calls have no effect.
        """
        if self.is_closed:
            return
        self.is_closed = True
        children, self._children = self._children, []
        for child in children:
            child.release()
        self._budget._transfers.discard(self)
        if not self._try_free():
            self._budget._in_use.append(self)

    def _try_free(self) -> bool:
        for buffer in self._buffers:
            try:
                buffer.clear()
            except BufferError:
                return False
        self._buffers.clear()
        self._budget._give_back(self.charged_bytes)
        self.charged_bytes = 0
        return True

    def __del__(self):
        # For messages that are dropped on the way, like the response of an
        # attempt whose caller has gone.
        if not self.is_closed:
            self._budget.stats.dropped += 1
            self.release()


class ByteBudget:
    """Bytes that the messages of all connections may take together."""

    def __init__(self, settings: ResourceSettings, clock: Clock):
        self.settings = settings
        self.stats = BudgetStats()
        self.used_bytes = 0
        self.waiting = 0
        self._clock = clock
        # Messages that are being received, or whose response is being sent.
        # Weak, so that an account which is dropped meanwhile is released.
        self._transfers: WeakSet[Account] = WeakSet()
        # Released accounts with a buffer that something still reads from.
        self._in_use: list[Account] = []
        self._checked_s = clock.monotonic()
        self._denied_s = float("-inf")
        room_mb = max(
            settings.memory_mb - settings.own_memory_mb,
            settings.memory_mb * MIN_ROOM_SHARE,
        )
        room_bytes = int(room_mb * BYTES_PER_MB)
        self.connection_bytes = int(room_bytes * settings.connection_share)
        total_bytes = room_bytes - self.connection_bytes
        self.limits = {
            Share.LARGE: int(total_bytes * settings.large_share),
            Share.SMALL: int(total_bytes * settings.small_share),
            Share.CONTROL: total_bytes,
            Share.RESPONSE: total_bytes,
        }

    def open_account(self, share: Share) -> Account:
        """Return an account without bytes."""
        return Account(self, share)

    def may_fit(self, size: int, share: Share) -> bool:
        """Return whether the bytes fit while nothing else is held."""
        return size <= self.limits[share]

    def record_denial(self) -> None:
        """Record that a message waits or is refused for lack of room."""
        self._denied_s = self._clock.monotonic()

    def check_progress(self) -> None:
        """Mark messages that must end; call it a few times a second.

        Under pressure that is the one with the least progress for the longest
        time. Buffers that were in use at their release are cleared, too.
        """
        self._in_use = [a for a in self._in_use if not a._try_free()]
        now_s = self._clock.monotonic()
        gap_s = now_s - self._checked_s
        self._checked_s = now_s
        if gap_s > MAX_CHECK_GAP_S:
            for account in self._transfers:
                account.delay_mark(gap_s)
        if not self._transfers:
            return
        stalls = [(a.find_stall(now_s), a) for a in self._transfers]
        cfg = self.settings
        for stall_s, account in stalls:
            account.must_end |= stall_s > cfg.progress_window_s
        if now_s - self._denied_s > PRESSURE_S:
            return
        stall_s, worst = max(
            stalls, key=lambda s: (s[0], -s[1].received_bytes)
        )
        if stall_s > cfg.pressure_window_s:
            worst.must_end = True

    def _try_take(self, size: int, limit_bytes: int) -> bool:
        if size < 0:
            raise ValueError(f"{size} bytes charged")
        used_bytes = self.used_bytes + size
        if used_bytes > limit_bytes:
            return False
        self.used_bytes = used_bytes
        if used_bytes > self.stats.peak_bytes:
            self.stats.peak_bytes = used_bytes
        return True

    def _give_back(self, size: int) -> None:
        self.used_bytes -= size
