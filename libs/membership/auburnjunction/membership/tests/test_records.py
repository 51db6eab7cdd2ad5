"""Order and merging of records, and the view built from them."""

from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.records import (
    NodeState,
    decode_record,
    encode_record,
    make_tombstone,
    merge_records,
)
from auburnjunction.membership.tests.support import FAST, make_record
from auburnjunction.membership.view_differences import (
    add_differing_parts,
    compare_keys,
)
from auburnjunction.membership.views import View
from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.schema import control_pb2 as pb

NAMES = ("n0", "n1", "n2")


def make_instance(node="n0", state=InstanceState.READY, name="i0"):
    return Instance(
        name, "orders", state, 6, 0, node, "helsinki", "127.0.0.1", 9001
    )


def make_version(node, incarnation, version, state, revision=0):
    """Return the record that an order determines."""
    instance_state = InstanceState(1 + version % 4)
    instances = (make_instance(node, instance_state),)
    record = make_record(
        node,
        incarnation=incarnation,
        version=version,
        state=state,
        revision=revision,
        instances=instances,
    )
    return make_tombstone(record) if state is NodeState.DEAD else record


records = st.builds(
    make_version,
    st.just("n0"),
    st.integers(1, 3),
    st.integers(1, 4),
    st.sampled_from(NodeState),
    st.integers(0, 3),
)


@settings(derandomize=True)
@given(records, records, records)
def test_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merge_records(a, b) == merge_records(b, a)
    left = merge_records(merge_records(a, b), c)
    assert left == merge_records(a, merge_records(b, c))
    assert merge_records(left, a) == left


@settings(derandomize=True)
@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_any_order_of_records_gives_one_view(items, source):
    first, second = View(), View()
    for record in items:
        first.merge(record)
    shuffled = items * 2
    source.shuffle(shuffled)
    for record in shuffled:
        second.merge(record)
    assert first.get("n0") == second.get("n0")
    assert first.digest == second.digest
    assert first.part_digests == second.part_digests


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        ((1, 1, NodeState.ALIVE), (1, 2, NodeState.ALIVE)),
        ((1, 1, NodeState.ALIVE), (1, 1, NodeState.SUSPECT)),
        ((1, 1, NodeState.SUSPECT), (1, 2, NodeState.ALIVE)),
        ((1, 2, NodeState.ALIVE), (1, 3, NodeState.LEAVING)),
        ((1, 9, NodeState.ALIVE), (1, 1, NodeState.DEAD)),
        ((1, 9, NodeState.LEAVING), (1, 1, NodeState.DEAD)),
        ((1, 9, NodeState.DEAD), (2, 1, NodeState.ALIVE)),
    ],
)
def test_newer_record_wins(older, newer):
    old, new = make_version("n0", *older), make_version("n0", *newer)
    assert merge_records(old, new) is new
    assert merge_records(new, old) is new


def test_record_round_trips_through_protobuf():
    record = make_version("n0", 3, 1, NodeState.ALIVE, 7)
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "message",
    [
        pb.NodeRecord(node="", data_centre="a", state=1),
        pb.NodeRecord(node="a", data_centre="", state=1),
        pb.NodeRecord(node="a", data_centre="a", state=0),
    ],
)
def test_invalid_message_is_rejected(message):
    with pytest.raises(ValueError, match="record|NodeState"):
        decode_record(message)


class ViewMachine(RuleBasedStateMachine):
    """Nodes change records; copies are delivered late, twice or never."""

    def __init__(self):
        super().__init__()
        self.view = View()
        self.owned = {name: make_record(name) for name in NAMES}
        self.sent = list(self.owned.values())
        self.leaving_orders: dict[str, tuple] = {}

    def publish(self, name, **changes):
        record = attrs.evolve(self.owned[name], **changes)
        self.owned[name] = record
        self.sent.append(record)

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(InstanceState))
    def change_instance(self, name, state):
        version = self.owned[name].version + 1
        instances = (make_instance(name, state, f"i-{name}"),)
        self.publish(name, version=version, instances=instances)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        version = self.owned[name].version + 1
        self.publish(name, version=version, state=NodeState.LEAVING)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        incarnation = self.owned[name].incarnation + 1
        self.publish(
            name,
            incarnation=incarnation,
            version=1,
            state=NodeState.ALIVE,
            instances=(),
        )

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), state=st.sampled_from(["suspect", "dead"]))
    def suspect_or_kill(self, data, state):
        record = data.draw(st.sampled_from(self.sent))
        if state == "dead":
            self.sent.append(make_tombstone(record))
        elif record.state is NodeState.ALIVE:
            suspect = attrs.evolve(record, state=NodeState.SUSPECT)
            self.sent.append(suspect)

    @rule(data=st.data())
    def deliver(self, data):
        record = data.draw(st.sampled_from(self.sent))
        before = self.view.get(record.node)
        is_newer = self.view.merge(record)
        after = self.view.get(record.node)
        assert is_newer == (before is None or record.order > before.order)
        if before is not None:
            assert after.order >= before.order
        if after.state is NodeState.LEAVING:
            self.leaving_orders[record.node] = after.order

    @invariant()
    def leaving_is_never_undone_by_an_older_record(self):
        for name, order in self.leaving_orders.items():
            record = self.view.get(name)
            assert record.order >= order
            if record.is_usable:
                assert (record.incarnation, record.version) > (
                    order[0],
                    order[2],
                )

    @invariant()
    def indexes_agree_with_records(self):
        held = [r for r in map(self.view.get, NAMES) if r is not None]
        digest = 0
        for record in held:
            digest ^= record.digest
        assert self.view.digest == digest
        ready = {
            i.instance
            for r in held
            if r.is_usable
            for i in r.instances
            if i.state is InstanceState.READY
        }
        found = self.view.find_ready("orders")
        assert {i.instance for i in found} == ready


ViewMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30
)
TestView = ViewMachine.TestCase


@pytest.mark.parametrize("first", ["n0", "n1"])
@pytest.mark.parametrize("old_state", [InstanceState.GONE, None])
def test_moved_backend_server_is_found_where_it_is_ready(first, old_state):
    old_instances = (make_instance("n0", old_state),) if old_state else ()
    moved = {
        "n0": make_record("n0", version=2, instances=old_instances),
        "n1": make_record("n1", instances=(make_instance("n1"),)),
    }
    view = View()
    view.merge(make_record("n0", instances=(make_instance("n0"),)))
    view.merge(moved.pop(first))
    view.merge(moved.popitem()[1])
    assert view.find_instance("i0").node == "n1"
    view.merge(make_tombstone(view.get("n1")))
    found = view.find_instance("i0")
    assert (found and found.state) == old_state


def test_differing_parts_give_the_newer_records_of_both_views():
    one, two = View(), View()
    for index in range(40):
        one.merge(make_record(f"n{index}"))
        two.merge(make_record(f"n{index}"))
    one.merge(make_record("n1", version=2))
    two.merge(make_record("n2", version=2))
    one.merge(make_record("only-one"))
    two.merge(make_record("only-two"))
    one.merge(make_tombstone(make_record("n3")))
    two.remove("n3")
    response = pb.GossipResponse()
    add_differing_parts(two, one.part_digests, response, 0)
    newer, wanted = compare_keys(one, response.parts, response.keys)
    assert {r.node for r in newer} == {"n1", "only-one"}
    assert set(wanted) == {"n2", "only-two"}


def test_changes_are_listed_in_batches_without_a_loss():
    cluster = ClusterState(
        FAST,
        "own",
        "helsinki",
        Address("127.0.0.1", 9000),
        ManualClock(),
        Random(1),
    )
    cluster.merge(make_record(f"n{i}") for i in range(20))
    cluster.merge([make_record("x", "espoo"), make_record("n3", version=2)])
    listed, after = [], 0
    for _ in range(4):
        records, after = cluster.list_changes(after, 8)
        listed += [(r.node, r.version) for r in records]
    assert listed[-1] == ("n3", 2)
    assert {name for name, _ in listed} == {
        "own",
        *(f"n{i}" for i in range(20)),
    }
    assert len(listed) == 21
    cluster.merge([make_record("n5", version=2)])
    records, _ = cluster.list_changes(after, 8)
    assert [r.node for r in records] == ["n5"]


def test_removed_tombstone_changes_no_digest():
    view = View()
    view.merge(make_record("n0"))
    view.merge(make_tombstone(make_record("n0")))
    assert view.digest == View().digest
    view.remove("n0")
    assert view.digest == View().digest
