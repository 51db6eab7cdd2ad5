"""Tests of the data that a connection has received and not parsed."""

from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.http.input_buffers import InputBuffer

STEPS = st.lists(
    st.one_of(st.binary(min_size=1, max_size=9), st.integers(1, 12))
)


# Guards against data that is lost, repeated or reordered.
@given(STEPS)
def test_data_is_taken_in_the_order_of_its_receipt(steps):
    buffer = InputBuffer()
    added = taken = b""
    for step in steps:
        if isinstance(step, bytes):
            buffer.add(step)
            added += step
        else:
            taken += buffer.take(step)
        assert added == taken + added[len(taken) :]
        assert len(buffer) == len(added) - len(taken)
    buffer.add(b"")
    assert buffer.is_at_end is (len(buffer) == 0)
    assert taken + buffer.take(len(added) + 1) == added
    assert buffer.is_at_end
