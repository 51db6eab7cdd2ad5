"""Rate limit, line size and non-blocking writes of the log stream."""

import os

import orjson
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.logs import MAX_LINE_BYTES, BoundedStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_above_the_rate_are_counted_and_reported(pipe):
    reader, writer = pipe
    clock = ManualClock()
    stream = BoundedStream(writer, clock, lines_per_s=1.0, burst=2.0)
    for index in range(5):
        stream.write(f'{{"n": {index}}}\n')
    clock.advance(1.0)
    stream.write('{"n": 5}\n')
    lines = [orjson.loads(x) for x in os.read(reader, 65536).splitlines()]
    assert [line.get("n") for line in lines] == [0, 1, None, 5]
    assert lines[2] == {"message": "log lines left out", "count": 3}


def test_full_pipe_drops_lines_without_blocking(pipe):
    _, writer = pipe
    stream = BoundedStream(writer, ManualClock(), 1e9, 1e9)
    for _ in range(100):
        stream.write("x" * (MAX_LINE_BYTES - 1) + "\n")
    assert stream.dropped_lines > 0


def test_drop_count_is_kept_when_a_line_is_too_long(pipe):
    reader, writer = pipe
    clock = ManualClock()
    stream = BoundedStream(writer, clock, lines_per_s=1.0, burst=1.0)
    for _ in range(3):
        stream.write("{}\n")
    clock.advance(1.0)
    stream.write("x" * MAX_LINE_BYTES + "\n")
    clock.advance(1.0)
    stream.write('{"n": 1}\n')
    lines = [orjson.loads(x) for x in os.read(reader, 65536).splitlines()]
    assert lines[1] == {"message": "log lines left out", "count": 3}


def test_reader_that_has_gone_only_drops_lines():
    reader, writer = os.pipe()
    os.close(reader)
    stream = BoundedStream(writer, ManualClock())
    stream.write("{}\n")
    assert stream.dropped_lines == 1
    os.close(writer)


def test_notice_of_dropped_lines_does_not_push_out_a_long_line(pipe):
    reader, writer = pipe
    clock = ManualClock()
    stream = BoundedStream(writer, clock, lines_per_s=1.0, burst=1.0)
    for _ in range(3):
        stream.write("{}\n")
    long_line = "x" * (MAX_LINE_BYTES - 1)
    for line in (long_line, "{}"):
        clock.advance(1.0)
        stream.write(f"{line}\n")
    lines = os.read(reader, 65536).decode().splitlines()
    assert lines[1] == long_line
    assert orjson.loads(lines[2])["count"] == 2
