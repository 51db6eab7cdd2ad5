"""Sums of amounts over a sliding window."""

from collections import deque

# Parts of a window in which amounts are counted, unless others are given.
WINDOW_SLOTS = 10


class SlidingSum:
    """Sum of the amounts added within the last window.

    Up to one slot more is included, so that no span of the window's length
    holds more than the sum at its end.
    """

    def __init__(self, window_s: float, slot_count: int = WINDOW_SLOTS):
        self._slot_s = window_s / slot_count
        self._slot_count = slot_count
        self._slots: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        slot = self._drop_old_slots(now_s)
        if self._slots and self._slots[-1][0] == slot:
            self._slots[-1] = (slot, self._slots[-1][1] + amount)
        else:
            self._slots.append((slot, amount))
        self._total += amount

    def find_total(self, now_s: float) -> float:
        """Return the sum of the window that ends now."""
        self._drop_old_slots(now_s)
        return self._total if self._slots else 0.0

    def remove_oldest(self, amount: float, now_s: float) -> None:
        """Take back an amount that was added within this window.

        It is taken from the oldest slots. Whenever it was added, no later
        window then holds less than what was added and not taken back.
        """
        self._drop_old_slots(now_s)
        while amount > 0 and self._slots:
            slot, held = self._slots.popleft()
            taken = min(amount, held)
            amount -= taken
            self._total -= taken
            if held > taken:
                self._slots.appendleft((slot, held - taken))

    def find_delay(self, amount: float, now_s: float) -> float:
        """Return the time until an amount, or all, has left the window."""
        self._drop_old_slots(now_s)
        delay_s = 0.0
        for slot, held in self._slots:
            if amount <= 0:
                break
            amount -= held
            end_s = (slot + self._slot_count + 1) * self._slot_s
            delay_s = max(0.0, end_s - now_s)
        return delay_s

    def list_amounts(self, now_s: float) -> list[tuple[float, float]]:
        """Return pairs of age in seconds and amount, the oldest first.

        The ages are those of the ends of slots, so that no amount is
        listed as older than it is.
        """
        self._drop_old_slots(now_s)
        return [
            (max(0.0, now_s - (slot + 1) * self._slot_s), amount)
            for slot, amount in self._slots
        ]

    def _drop_old_slots(self, now_s: float) -> int:
        """Drop the slots before the window; return the current one."""
        slot = int(now_s / self._slot_s)
        while self._slots and self._slots[0][0] < slot - self._slot_count:
            self._total -= self._slots.popleft()[1]
        return slot
