"""Shares of calls that are sent to other data centres."""

from collections.abc import Callable

import attrs
from absl import logging

from auburnjunction.base.logs import log_event

# Gain at which a share moves at its full rate; a smaller gain moves it in
# proportion, so that it settles where both sides are about equal.
FULL_RATE_GAIN_MS = 20.0
# Time between two changes of the shares of a service, and the longest time
# that one change covers after a pause in the calls.
STEP_S = 0.1
MAX_STEP_S = 0.5
# A change is logged from this size on, and for one pair of service and data
# centre at most this often.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_S = 5.0

ShareObserver = Callable[[str, str, float], None]


@attrs.define(slots=True)
class Share:
    """Share of the calls of one service for one data centre."""

    value: float = 0.0
    logged_value: float = 0.0
    logged_s: float = float("-inf")


@attrs.define(slots=True)
class ServiceShares:
    """Shares of one service by data centre."""

    stepped_s: float = float("-inf")
    shares: dict[str, Share] = attrs.field(factory=dict)


class ShareTable:
    """Shares by service and data centre; they change at a bounded rate."""

    def __init__(self, max_share: float, change_per_s: float):
        self._max_share = max_share
        self._change_per_s = change_per_s
        self._services: dict[str, ServiceShares] = {}

    def is_step_due(self, service: str, now_s: float) -> bool:
        """Return whether the shares of the service are to be changed."""
        found = self._services.get(service)
        return found is None or now_s - found.stepped_s >= STEP_S

    def step(
        self, service: str, gains_ms: dict[str, float | None], now_s: float
    ) -> None:
        """Change the shares of a service by the gains of data centres.

        A gain of None means that a data centre takes nothing.
        """
        found = self._services.setdefault(service, ServiceShares())
        elapsed_s = min(MAX_STEP_S, max(0.0, now_s - found.stepped_s))
        found.stepped_s = now_s
        largest = self._change_per_s * elapsed_s
        for name in set(found.shares) - set(gains_ms):
            self._set(service, name, found.shares.pop(name), 0.0, now_s)
        room = self._max_share
        for name, gain_ms in gains_ms.items():
            share = found.shares.setdefault(name, Share())
            value = 0.0
            if gain_ms is not None:
                rate = max(-1.0, min(1.0, gain_ms / FULL_RATE_GAIN_MS))
                value = max(0.0, min(room, share.value + rate * largest))
            room -= value
            self._set(service, name, share, value, now_s)

    def clear(self, service: str, data_centre: str, now_s: float) -> None:
        """Set a share to 0, as the other side is full or cut off."""
        found = self._services.get(service)
        share = found.shares.get(data_centre) if found else None
        if share is not None:
            self._set(service, data_centre, share, 0.0, now_s)

    def get(self, service: str, data_centre: str) -> float:
        """Return a share, 0 if there is none."""
        found = self._services.get(service)
        share = found.shares.get(data_centre) if found else None
        return share.value if share is not None else 0.0

    def draw(self, service: str, number: float) -> str:
        """Return the data centre for a uniform number; "" for the own one."""
        found = self._services.get(service)
        if found is None:
            return ""
        for name, share in found.shares.items():
            number -= share.value
            if number < 0.0:
                return name
        return ""

    def list_all(self) -> list[tuple[str, str, float]]:
        """Return service, data centre and share of all pairs."""
        return [
            (service, name, share.value)
            for service, found in self._services.items()
            for name, share in found.shares.items()
        ]

    def _set(
        self, service: str, name: str, share: Share, value: float, now_s: float
    ) -> None:
        share.value = value
        change = abs(value - share.logged_value)
        is_end = value == 0.0 and change > 0.0
        if not is_end and change < LOGGED_CHANGE:
            return
        if now_s - share.logged_s < LOG_INTERVAL_S:
            return
        log_event(
            "share of calls for another data centre",
            logging.INFO,
            service=service,
            to=name,
            share=round(value, 3),
            before=round(share.logged_value, 3),
        )
        share.logged_value = value
        share.logged_s = now_s
