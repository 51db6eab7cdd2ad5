"""Requests that a caller sends before earlier ones are answered."""

import re
from contextlib import asynccontextmanager

import attrs
import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.messages import HttpResponse, MessageLimits
from auburnjunction.http.servers import open_server

HOST = "127.0.0.1"
CLOCK = SystemClock()
LIMITS = MessageLimits(
    head_bytes=2048, body_bytes=1024, head_timeout_s=0.2, body_timeout_s=0.2
)
RESPONSE = re.compile(
    rb"HTTP/1\.1 (\d{3}) .*?content-length: (\d+).*?\r\n\r\n", re.S | re.I
)


def get(name, *headers):
    lines = b"".join(b"%s\r\n" % header for header in headers)
    return b"GET /%s HTTP/1.1\r\nhost: t\r\n%s\r\n" % (name, lines)


def post(name, body=b"x"):
    head = b"POST /%s HTTP/1.1\r\nhost: t\r\ncontent-length: %d\r\n\r\n"
    return head % (name, len(body)) + body


@attrs.define
class Gate:
    """Handler whose requests wait until their name is released."""

    started: list[bytes] = attrs.field(factory=list)
    cancelled: list[bytes] = attrs.field(factory=list)
    ended: list[bytes] = attrs.field(factory=list)
    events: dict[bytes, curio.Event] = attrs.field(factory=dict)
    # Names of requests that are answered without being released.
    is_open: bool = False

    async def handle(self, request):
        name = request.target[1:]
        self.started.append(name)
        try:
            if not self.is_open:
                await self.find_event(name).wait()
        except curio.CancelledError:
            self.cancelled.append(name)
            raise
        self.ended.append(name)
        return HttpResponse(200, [], name)

    def find_event(self, name):
        return self.events.setdefault(name, curio.Event())

    async def release(self, *names):
        for name in names:
            await self.find_event(name).set()

    async def wait_started(self, *names):
        await wait_until(lambda: set(names) <= set(self.started))


async def wait_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.002)


@asynccontextmanager
async def open_gate(limits=LIMITS, **options):
    """Yield a gate, its server and a connection to it."""
    gate = Gate(**options)
    async with open_server(HOST, 0, gate.handle, CLOCK, limits) as server:
        sock = await curio.open_connection(HOST, server.port)
        async with sock:
            yield gate, server, sock


def parse_responses(data):
    """Return status and body of each response; fail on other bytes."""
    responses = []
    while data:
        match = RESPONSE.match(data)
        assert match, data
        end = match.end() + int(match[2])
        responses.append((int(match[1]), data[match.end() : end]))
        data = data[end:]
    return responses


async def read_all(sock):
    received = b""
    async with curio.timeout_after(5):
        while chunk := await sock.recv(65536):
            received += chunk
    return received


async def read_responses(sock, count):
    """Return that many responses."""
    received = b""
    async with curio.timeout_after(5):
        while len(RESPONSE.findall(received)) < count:
            received += await sock.recv(65536)
    return parse_responses(received)


def test_safe_requests_overlap_and_are_answered_in_order():
    async def main():
        async with open_gate() as (gate, server, sock):
            await sock.sendall(get(b"a"))
            await gate.wait_started(b"a")
            await sock.sendall(get(b"b") + get(b"c"))
            await gate.wait_started(b"b", b"c")
            await gate.release(b"c", b"b")
            await wait_until(lambda: len(gate.ended) == 2)
            await gate.release(b"a")
            responses = await read_responses(sock, 3)
            assert responses == [(200, b"a"), (200, b"b"), (200, b"c")]
            assert server.stats.pipelined == 2
            assert server.stats.blocked_s > 0

    curio.run(main)


@pytest.mark.parametrize(
    ("requests", "overlapping"),
    [
        ((post(b"a"), get(b"b")), [b"a"]),
        ((get(b"a"), post(b"b"), get(b"c")), [b"a"]),
        ((get(b"a"), get(b"b"), post(b"c")), [b"a", b"b"]),
    ],
)
def test_other_requests_wait_for_those_before_them(requests, overlapping):
    async def main():
        async with open_gate() as (gate, _server, sock):
            await sock.sendall(b"".join(requests))
            await gate.wait_started(*overlapping)
            await curio.sleep(0.05)
            assert gate.started == overlapping
            names = [b"a", b"b", b"c"][: len(requests)]
            await gate.release(*names)
            responses = await read_responses(sock, len(names))
            assert [body for _, body in responses] == names
            assert gate.started == names

    curio.run(main)


def test_slow_request_does_not_delay_the_work_behind_it():
    """Work of 0.3 s behind 0.3 s: one at a time takes 0.6 s."""
    durations_s = []

    async def work(request):
        await curio.sleep(0.3)
        return HttpResponse(200, [], request.target)

    async def measure(pipelined_requests):
        limits = MessageLimits(pipelined_requests=pipelined_requests)
        async with open_server(HOST, 0, work, CLOCK, limits) as server:
            sock = await curio.open_connection(HOST, server.port)
            async with sock:
                start_s = CLOCK.monotonic()
                await sock.sendall(get(b"a") + get(b"b"))
                await read_responses(sock, 2)
                durations_s.append(CLOCK.monotonic() - start_s)

    async def main():
        for pipelined_requests in (16, 1):
            await measure(pipelined_requests)

    curio.run(main)
    overlapping_s, sequential_s = durations_s
    assert overlapping_s < 0.6 <= sequential_s


def test_request_keeps_the_time_at_which_its_head_arrived():
    received_s = []

    async def record(request):
        received_s.append(request.received_s)
        await curio.sleep(0.2)
        return HttpResponse(200)

    async def main():
        async with open_server(HOST, 0, record, CLOCK) as server:
            sock = await curio.open_connection(HOST, server.port)
            async with sock:
                await sock.sendall(post(b"a") + post(b"b"))
                await read_responses(sock, 2)

    curio.run(main)
    assert received_s[1] - received_s[0] < 0.1


BAD_HEAD = b"nonsense\r\n\r\n"
BOTH_LENGTHS = (
    b"POST /bad HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)
LONG_BODY = b"POST /bad HTTP/1.1\r\nhost: t\r\ncontent-length: 9999\r\n\r\n"
HALF_HEAD = b"GET /bad HTTP/1.1\r\nhost:"
HALF_BODY = b"POST /bad HTTP/1.1\r\nhost: t\r\ncontent-length: 9\r\n\r\nab"


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (BAD_HEAD, 400),
        (BOTH_LENGTHS, 400),
        (LONG_BODY, 413),
        (b"GET / HTTP/1.1\r\nx: " + b"a" * 3000, 431),
        (HALF_HEAD, 408),
        (HALF_BODY, 408),
    ],
)
@pytest.mark.parametrize("good", [get(b"a") + get(b"b"), post(b"a")])
def test_bad_request_is_rejected_behind_good_ones(bad, status, good):
    async def main():
        async with open_gate() as (gate, _server, sock):
            await sock.sendall(good + bad)
            await gate.wait_started(b"a")
            await curio.sleep(0.3)
            await gate.release(b"a", b"b")
            responses = parse_responses(await read_all(sock))
            assert [s for s, _ in responses[:-1]] == [200] * (
                len(responses) - 1
            )
            assert len(responses) == 1 + len(gate.started)
            assert responses[-1][0] == status
            assert b"bad" not in gate.started

    curio.run(main)


def test_body_of_a_safe_request_is_not_taken_for_a_request():
    inner = get(b"inner")

    async def main():
        async with open_gate(is_open=True) as (gate, _server, sock):
            length = b"content-length: %d" % len(inner)
            await sock.sendall(get(b"a", length) + inner + get(b"b"))
            await read_responses(sock, 2)
            assert gate.started == [b"a", b"b"]

    curio.run(main)


def test_requests_in_flight_are_bounded():
    limits = attrs.evolve(LIMITS, pipelined_requests=4)

    async def main():
        async with open_gate(limits) as (gate, _server, sock):
            names = [b"%d" % index for index in range(1000)]
            sender = await curio.spawn(
                sock.sendall, b"".join(get(name) for name in names)
            )
            await gate.wait_started(*names[:4])
            await curio.sleep(0.05)
            assert gate.started == names[:4]
            gate.is_open = True
            await gate.release(*names[:4])
            responses = await read_responses(sock, 1000)
            assert [body for _, body in responses] == names
            await sender.join()

    curio.run(main)


def test_bytes_of_requests_in_flight_are_bounded():
    limits = attrs.evolve(LIMITS, pipelined_bytes=1500)

    async def main():
        async with open_gate(limits) as (gate, _server, sock):
            long_header = b"x: " + b"a" * 800
            names = [b"a", b"b", b"c", b"d"]
            await sock.sendall(b"".join(get(n, long_header) for n in names))
            await gate.wait_started(b"a", b"b")
            await curio.sleep(0.05)
            assert gate.started == [b"a", b"b"]
            await gate.release(*names)
            assert len(await read_responses(sock, 4)) == 4

    curio.run(main)


@pytest.mark.parametrize("behind", [0, 2, 50])
def test_requests_of_a_caller_that_leaves_are_cancelled(behind):
    limits = attrs.evolve(LIMITS, pipelined_requests=4)

    async def main():
        async with open_gate(limits) as (gate, server, sock):
            await sock.sendall(get(b"a"))
            await gate.wait_started(b"a")
            await curio.sleep(0.1)
            names = [b"%d" % index for index in range(behind)]
            await sock.sendall(b"".join(get(name) for name in names))
            await sock.close()
            await wait_until(lambda: not server.connection_count)
            assert gate.ended == []
            assert sorted(gate.cancelled) == sorted(gate.started)
            assert len(gate.started) <= 4

    curio.run(main)


# Guards against requests that a caller has sent ahead, and that were read, but
# get no response at a planned stop, as one before them may not overlap.
@pytest.mark.parametrize("stop", ["disable_keep_alive", "start_closing"])
def test_closing_response_follows_all_that_were_read(stop):
    async def main():
        async with open_gate() as (gate, server, sock):
            await sock.sendall(get(b"a") + get(b"b") + post(b"c"))
            await gate.wait_started(b"a", b"b")
            await curio.sleep(0.02)
            getattr(server, stop)()
            # The connection reads one more request, and none behind that.
            await sock.sendall(get(b"d"))
            await curio.sleep(0.02)
            await sock.sendall(get(b"e"))
            names = [b"a", b"b", b"c", b"d"]
            await gate.release(*names, b"e")
            received = await read_all(sock)
            expected = [(200, name) for name in names]
            assert parse_responses(received) == expected
            assert received.lower().count(b"connection: close") == 1
            assert gate.started == names
            assert server.stats.discarded == 0

    curio.run(main)


def test_request_behind_connection_close_is_not_read():
    async def main():
        async with open_gate(is_open=True) as (gate, _server, sock):
            closing = get(b"a", b"connection: close")
            await sock.sendall(closing + get(b"b"))
            responses = parse_responses(await read_all(sock))
            assert responses == [(200, b"a")]
            assert gate.started == [b"a"]

    curio.run(main)


def test_closing_response_survives_requests_that_cross_it():
    """A socket closed with unread data would reset the connection."""

    async def main():
        async with open_gate(is_open=True) as (_gate, server, sock):
            server.disable_keep_alive()
            await sock.sendall(get(b"a"))
            await curio.sleep(0.05)
            await sock.sendall(get(b"b") * 50)
            await curio.sleep(0.05)
            responses = parse_responses(await read_all(sock))
            assert responses == [(200, b"a")]

    curio.run(main)


def test_interim_response_does_not_precede_earlier_responses():
    async def main():
        async with open_gate() as (gate, _server, sock):
            head = post(b"b", b"")[:-2].replace(b": 0", b": 2")
            expect = head + b"expect: 100-continue\r\n\r\n"
            await sock.sendall(get(b"a") + expect)
            await gate.wait_started(b"a")
            await curio.sleep(0.05)
            await gate.release(b"a", b"b")
            received = b""
            async with curio.timeout_after(5):
                while b" 100 " not in received:
                    received += await sock.recv(65536)
            assert received.startswith(b"HTTP/1.1 200")
            await sock.sendall(b"ok")
            assert await read_responses(sock, 1) == [(200, b"b")]

    curio.run(main)


KINDS = st.sampled_from([get, post])


@settings(max_examples=40, deadline=None, derandomize=True)
@given(data=st.data(), kinds=st.lists(KINDS, min_size=1, max_size=8))
def test_any_split_and_order_gives_responses_in_order(data, kinds):
    names = [b"%d" % index for index in range(len(kinds))]
    stream = b"".join(
        kind(name) for kind, name in zip(kinds, names, strict=True)
    )
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6))
    bounds = [0, *sorted(cuts), len(stream)]
    order = data.draw(st.permutations(names))

    async def main():
        async with open_gate() as (gate, _server, sock):
            releaser = await curio.spawn(release_in_order, gate, order)
            for start, end in zip(bounds, bounds[1:], strict=False):
                await sock.sendall(stream[start:end])
                await curio.sleep(0)
            responses = await read_responses(sock, len(names))
            assert [body for _, body in responses] == names
            await releaser.join()

    async def release_in_order(gate, order):
        for name in order:
            await gate.release(name)
            await curio.sleep(0)

    curio.run(main)
