"""Late announcements, also across restarts of a backend server."""

import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.leases import LeaseTable


def announce(state, born_ms, sequence):
    return Announcement(
        "i-1",
        "orders",
        "10.0.0.1:80",
        state,
        born_ms=born_ms,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ("announcements", "shown"),
    [
        ([("ready", 5, 1), ("leaving", 5, 2), ("ready", 5, 1)], "leaving"),
        ([("ready", 5, 1), ("leaving", 5, 2), ("ready", 5, 3)], "leaving"),
        ([("ready", 5, 1), ("gone", 5, 2), ("ready", 5, 3)], "gone"),
        ([("ready", 5, 9), ("gone", 5, 9), ("ready", 6, 1)], "ready"),
        ([("ready", 6, 1), ("leaving", 5, 99)], "ready"),
        ([("leaving", 5, 4), ("ready", 6, 1), ("ready", 5, 9)], "ready"),
    ],
)
def test_late_announcement_is_ignored(announcements, shown):
    table = LeaseTable(ManualClock())
    for values in announcements:
        lease = table.renew(announce(*values))
    assert lease.published_state.name.lower() == shown
