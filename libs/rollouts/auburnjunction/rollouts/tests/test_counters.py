"""Tests of the counters and their merge."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.rollouts.contacts import FleetContacts
from auburnjunction.rollouts.counters import (
    BUCKET_COUNT,
    EvidenceBook,
    Kind,
    OwnCounters,
    find_bucket,
)
from auburnjunction.rollouts.exchanges import decode_evidence, encode_evidence
from auburnjunction.rollouts.orders import Order, Rollout
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.states import ServiceState

EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),  # node
        st.integers(0, 3),  # slice
        st.sampled_from([(Kind.TARGET, 1), (Kind.OLD, 1), (Kind.SEEN, 2)]),
        st.integers(0, 4),  # position
        st.booleans(),  # whether it publishes now
    ),
    max_size=40,
)


# Guards against evidence that counts twice or is lost on its way.
@given(EVENTS, st.randoms())
def test_books_agree_in_any_order(events, random):
    books = [EvidenceBook() for _ in range(3)]
    own = [OwnCounters(b, i + 1, f"n{i}") for i, b in enumerate(books)]
    expected = {}
    updates = []
    for node, index, key, position, is_published in events:
        own[node].count(index, key, position)
        place = (index, key, position)
        expected[place] = expected.get(place, 0) + 1
        if is_published:
            own[node].publish(0.0, False)
            updates += books[node].select_news({})
    for counters, book in zip(own, books, strict=True):
        counters.publish(0.0, False)
        updates += book.select_news({})
    updates *= 2
    random.shuffle(updates)
    other = EvidenceBook()
    for update in updates:
        other.merge([update])
    found = {
        (index, key, position): value
        for index, counts in other.sums.items()
        for key, values in counts.items()
        for position, value in enumerate(values)
        if value
    }
    assert found == expected


def make_state(source, target="v2"):
    identity = NodeIdentity(f"n{source}", "a", source, 0.0)
    state = ServiceState(identity, RolloutSettings(), None)
    state.rollout = Rollout(Order("orders", target, 12.0, 1, 5), 100.0)
    return state


def test_evidence_survives_its_encoding():
    state, other = make_state(7), make_state(8)
    state.own.count(2, (Kind.TARGET, 9), 4)
    state.publish(
        101.0,
    )
    message = encode_evidence(
        "orders", state, state.book.select_news({}), 103.0
    )
    evidence = decode_evidence(message, 203.0)
    other.book.merge(evidence.updates)
    assert other.book.sums == state.book.sums
    assert evidence.held == {7: 1}
    assert other.book.sources[7].published_s == pytest.approx(201.0)
    assert other.book.select_news({7: 1}) == []


@pytest.mark.parametrize(
    "duration_s, bucket",
    [(0.0, 0), (0.001, 0), (0.002, 2), (0.008, 6), (3600, BUCKET_COUNT - 1)],
)
def test_buckets(duration_s, bucket):
    assert find_bucket(duration_s) == bucket


def test_nodes_not_heard_from_are_left_out():
    book = EvidenceBook()
    OwnCounters(book, 1, "n1").publish(10.0, True)
    OwnCounters(book, 2, "n2").publish(20.0, True)
    OwnCounters(book, 3, "n2").publish(20.0, False)
    assert book.find_nodes(15.0) == {"n2": False}
    assert book.find_nodes(5.0) == {"n1": True, "n2": False}


# Guards against a restarted node that knows no other yet and judges alone.
@pytest.mark.parametrize(
    "age_s, known, heard, has_majority",
    [
        (1.0, 1, 1, False),
        (20.0, 1, 1, True),
        (1.0, 4, 2, False),
        (1.0, 4, 3, True),
    ],
)
def test_majority_of_the_nodes(age_s, known, heard, has_majority):
    contacts = FleetContacts(lambda: known, 3.0, 100.0)
    book = EvidenceBook()
    for i in range(heard):
        OwnCounters(book, i + 1, f"n{i}").publish(100.0 + age_s, False)
    contact = contacts.find(book, 100.0 + age_s)
    assert contact.has_majority is has_majority
    assert contact.has_unheard is (heard < known)
