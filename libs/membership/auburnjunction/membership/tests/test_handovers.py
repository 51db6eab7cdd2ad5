"""Departures that peers hand back to a node which restarts without a table."""

import curio
import pytest

from auburnjunction.membership.departures import (
    MAX_DEPARTURES,
    MAX_PUBLISHED,
    Departure,
    DepartureLog,
)
from auburnjunction.membership.handovers import DepartureHandover
from auburnjunction.membership.records import make_tombstone
from auburnjunction.membership.tests.support import (
    make_announcement,
    make_record,
    run_cluster,
    wait_until,
)
from auburnjunction.model.services import InstanceState
from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import UnavailableError

BORN_MS = 1_764_840_000_000
# Time after a restart in which a node need not know yet.
CONTACT_S = 3.0


class SilentTable:
    """Table that answers nothing."""

    async def get(self, _key, timeout_s):
        await self._wait(timeout_s)

    async def put_if(self, _key, _value, _version, timeout_s):
        await self._wait(timeout_s)

    async def scan(self, _prefix, _after, _limit, timeout_s):
        await self._wait(timeout_s)

    async def _wait(self, timeout_s):
        await curio.sleep(timeout_s)
        raise UnavailableError("no answer")


class RefusingTable(MemoryTable):
    """Table that refuses all requests."""

    def __init__(self):
        super().__init__()
        self.available = False


def make_state(state, sequence):
    return make_announcement(state=state, born_ms=BORN_MS, sequence=sequence)


async def acknowledge_departure(member, last):
    """Do what a node does before it acknowledges a departure."""
    if last == "unknown":
        member.membership.log_departure_by_now("a-1")
    else:
        member.membership.announce(make_state("ready", 1))
        member.membership.announce(make_state(last, 3))
    await member.membership.save_departures()


async def restart(cluster, member):
    await cluster.kill(member)
    await cluster.start(member)


async def wait_departed(member):
    def has_departed():
        found = member.membership.find_instance("a-1")
        return found.state is InstanceState.LEAVING

    await wait_until(has_departed, CONTACT_S, "a late ready changes nothing")


# Guards against an acknowledged departure that is lost with its node.
@pytest.mark.parametrize("last", ["leaving", "gone", "unknown"])
@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("make_table", [RefusingTable, SilentTable])
def test_departure_survives_a_restart_without_the_table(
    last, restarts, make_table
):
    async def scenario(cluster):
        member = cluster[3]
        await acknowledge_departure(member, last)
        for _ in range(restarts):
            await restart(cluster, member)
            member.membership.announce(make_state("ready", 2))
            await wait_departed(member)
        await cluster.wait_ready(set())

    run_cluster(scenario, table=make_table())


def make_departures(*names, born_ms=BORN_MS):
    return tuple(Departure(name, born_ms) for name in names)


LISTED = {"departures": make_departures("a-1")}


@pytest.mark.parametrize(
    ("later", "kept"),
    [
        ([{"incarnation": 2}], ["a-1"]),
        ([{"incarnation": 2}, {"incarnation": 2, "version": 2}], ["a-1"]),
        ([{"incarnation": 2}, {"incarnation": 3}], ["a-1"]),
        ([{"incarnation": 2, **LISTED}], []),
        ([{"incarnation": 2}, {"incarnation": 2, "version": 2, **LISTED}], []),
        # A later incarnation of the backend server has left since.
        (
            [
                {
                    "incarnation": 2,
                    "departures": make_departures("a-1", born_ms=BORN_MS + 1),
                }
            ],
            [],
        ),
        # The record has no room for earlier departures.
        (
            [
                {
                    "incarnation": 2,
                    "departures": make_departures(
                        *(f"b-{n}" for n in range(MAX_PUBLISHED))
                    ),
                }
            ],
            [],
        ),
        # The process that published the departure still knows it.
        ([{"version": 2}], []),
    ],
)
@pytest.mark.parametrize("has_tombstone", [False, True])
def test_departures_are_kept_until_the_next_incarnation_lists_them(
    later, kept, has_tombstone
):
    handover = DepartureHandover()
    previous = make_record(**LISTED)
    handover.observe(None, previous)
    if has_tombstone and later[0].get("incarnation"):
        tombstone = make_tombstone(previous)
        handover.observe(previous, tombstone)
        previous = tombstone
    for fields in later:
        record = make_record(**fields)
        handover.observe(previous, record)
        previous = record
    departures = handover.list_for(previous.address)
    assert [d.instance for d in departures] == kept
    handover.forget(previous)
    assert not handover.list_for(previous.address)


@pytest.mark.parametrize(
    ("known", "handed", "is_saved"),
    [
        ([], ["a-1"], False),
        (["a-1"], ["a-1"], True),
        # The log is full of later departures.
        ([f"b-{n}" for n in range(MAX_DEPARTURES)], ["a-1"], True),
    ],
)
def test_handed_departures_are_saved_if_they_are_new(known, handed, is_saved):
    log = DepartureLog()
    for departure in make_departures(*known):
        log.add(departure)
    log.mark_saved(log.change_count)
    log.adopt(make_departures(*handed))
    assert log.is_saved is is_saved
