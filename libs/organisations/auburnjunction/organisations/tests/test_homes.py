"""Roles of home nodes, and which ledgers they hand over."""

import random

import attrs
import pytest

from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.holdings import Report
from auburnjunction.organisations.homes import QuotaHome
from auburnjunction.organisations.tests.fleet_support import SETTINGS

ACME = Organisation("acme", rate_per_s=10.0)
START_S = 1000.0
# The window, the transit time, a lease and the time of a former home node.
WAIT_S = 9.5


@attrs.define
class FixedView:
    """Roster and contacts that a test sets."""

    home: str = "a"
    node_count: int = 3
    majority_s: float = START_S

    def find_home(self, _organisation):
        return self.home

    def was_home(self, _organisation, _since_s):
        return False

    def find_majority_time(self, _now_s):
        return self.majority_s

    def has_majority(self, now_s):
        return now_s - self.majority_s < 2


@attrs.define
class Case:
    """A home node that is asked once and again."""

    view: FixedView = attrs.field(factory=FixedView)
    home: QuotaHome = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.home = QuotaHome(
            "a", SETTINGS, self.view, self.view, random.Random(1)
        )
        self.home.update(["acme"], START_S)

    def run(self, from_s, to_s, home="a", contact=True):
        """Update at each tick of a span of time."""
        self.view.home = home
        for tick in range(round(from_s * 2), round(to_s * 2) + 1):
            now_s = START_S + tick / 2
            if contact:
                self.view.majority_s = now_s
            self.home.update(["acme"], now_s)

    def ask(self, at_s):
        """Return what a node gets that wishes for 5 requests."""
        report = Report("acme", wish=5)
        organisations = {"acme": ACME}
        (grant,) = self.home.handle_reports(
            "b", 1, [report], organisations, START_S + at_s
        )
        return grant.granted


@pytest.mark.parametrize(
    ("at_s", "granted"), [(0.5, 0), (9.0, 0), (WAIT_S + 0.5, 5)]
)
def test_new_home_node_waits(at_s, granted):
    case = Case()
    case.run(0.5, at_s)
    assert case.ask(at_s) == granted


@pytest.mark.parametrize(("gap_s", "granted"), [(1.0, 5), (3.0, 5), (5.0, 0)])
def test_interruption_of_contacts(gap_s, granted):
    """Guards against grants of a node that was replaced meanwhile."""
    case = Case()
    case.run(0.5, 10.0)
    case.run(10.5, 10.0 + gap_s, contact=False)
    case.run(10.5 + gap_s, 11.0 + gap_s)
    assert case.ask(11.0 + gap_s) == granted


def test_interruption_restarts_a_wait():
    case = Case()
    case.run(0.5, 5.0)
    case.run(5.5, 7.5, contact=False)
    case.run(8.0, 12.0)
    assert case.ask(12.0) == 0


@pytest.mark.parametrize(
    ("taken_s", "lost_s", "count"),
    [
        pytest.param(10.0, 0.5, 1, id="in use, role just lost"),
        pytest.param(10.0, 6.0, 1, id="in use, role lost before"),
        pytest.param(4.0, 0.5, 1, id="waiting, role just lost"),
        # Another node may have granted since.
        pytest.param(4.0, 3.0, 0, id="waiting, role lost before"),
    ],
)
def test_ledgers_that_are_handed_over(taken_s, lost_s, count):
    case = Case()
    case.run(0.5, taken_s)
    case.run(taken_s + 0.5, taken_s + lost_s, home="b")
    now_s = START_S + taken_s + lost_s
    states, kept = case.home.hand_over("b", ["acme"], now_s + 0.1)
    assert (len(states), kept) == (count, [])
    # A ledger is handed over once.
    assert case.home.hand_over("b", ["acme"], now_s + 0.2) == ([], [])


def test_ledger_is_kept_for_a_node_that_is_not_the_home_node():
    case = Case()
    case.run(0.5, 10.0)
    assert case.home.hand_over("b", ["acme"], START_S + 10.1) == (
        [],
        ["acme"],
    )
    assert case.ask(10.2) == 5
