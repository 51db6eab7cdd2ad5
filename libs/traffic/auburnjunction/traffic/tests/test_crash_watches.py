"""Detection of crashes of backend servers, and of the calls to blame."""

from contextlib import asynccontextmanager

import attrs
import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest
from auburnjunction.http.servers import bind_socket
from auburnjunction.membership.crashes import Crash, CrashLog
from auburnjunction.model.services import Service
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    HOST,
    make_call,
    make_owner,
    try_call,
    wait_until,
)

RESPONSE = b"HTTP/1.1 %d OK\r\ncontent-length: 2\r\n\r\nok"
SERVICE = Service("orders", attempt_timeout_ms=200)
NAMES = HeaderNames(caller_service=b"caller")


class EndingBackend:
    """Backend server that a test can crash or disconnect."""

    def __init__(self):
        self.requests = 0
        # Requests with this in their body are answered.
        self.answered = b"quick"
        self.status = 200
        self.tasks = []

    async def accept(self, sock):
        async with sock:
            while True:
                client, _ = await sock.accept()
                self.tasks.append(await curio.spawn(self.serve, client))

    async def serve(self, client):
        async with client:
            while data := await client.recv(65536):
                self.requests += 1
                if self.answered in data:
                    await client.sendall(RESPONSE % self.status)

    async def close_connections(self):
        for task in self.tasks[1:]:
            await task.cancel()

    async def crash(self):
        for task in self.tasks:
            await task.cancel()


@asynccontextmanager
async def open_ending_backend():
    sock = bind_socket(HOST, 0)
    port = sock.getsockname()[1]
    backend = EndingBackend()
    backend.tasks.append(await curio.spawn(backend.accept, sock))
    try:
        yield backend, port
    finally:
        await backend.crash()


@attrs.define
class Recorder:
    """The crashes that an owner has reported."""

    reports: list = attrs.field(factory=list)

    def record(self, crashes):
        self.reports.append(crashes)


def fingerprint(body):
    return compute_fingerprint(make_call(body=body).request, HeaderNames())


async def run_calls(owner, backend, bodies, end):
    """Run calls until all are sent; return the results after the end."""
    async with curio.TaskGroup() as group:
        for index, body in enumerate(bodies):
            call = make_call(f"call-{index}", body=body)
            await group.spawn(try_call, owner, call)
        sent = backend.requests
        await wait_until(lambda: backend.requests >= sent + len(bodies))
        await end(backend, owner)
    return group.results


async def crash(backend, _owner):
    await backend.crash()


async def crash_while_leaving(backend, owner):
    owner.start_draining()
    await backend.crash()


async def break_connections(backend, _owner):
    await backend.close_connections()


async def stay_silent(_backend, _owner):
    """Let the calls time out."""


# Guards against blaming requests for a connection that broke, a backend
# server that left as planned, or one that does not respond.
@pytest.mark.parametrize(
    ("end", "code", "reports"),
    [
        (crash, ErrorCode.CRASHED, 1),
        (crash_while_leaving, ErrorCode.UNKNOWN, 0),
        (break_connections, ErrorCode.UNKNOWN, 0),
        (stay_silent, ErrorCode.TIMEOUT, 0),
    ],
)
def test_only_a_backend_server_that_ended_counts_as_crashed(
    end, code, reports
):
    async def main():
        recorder = Recorder()
        async with open_ending_backend() as (backend, port):
            owner = make_owner(
                port, slots=4, service=SERVICE, on_crash=recorder.record
            )
            owner.set_incarnation(17)
            errors = await run_calls(owner, backend, [b"one", b"two"], end)
            assert {error.code for error in errors} == {code}
            assert len(recorder.reports) == reports
            for crashes in recorder.reports:
                assert all(0 < c.ran_s < 5 for c in crashes)
                found = {(c.instance, c.born_ms) for c in crashes}
                assert found == {("orders-1", 17)}
                bodies = {fingerprint(b"one"), fingerprint(b"two")}
                assert {c.fingerprint for c in crashes} == bodies

    curio.run(main)


# Guards against the refusal of harmless requests that were running beside the
# one that crashed the backend server.
@pytest.mark.parametrize(
    ("known", "answered", "running", "blamed"),
    [
        ({}, [], [b"a", b"b"], [b"a", b"b"]),
        # At earlier crashes b was running, and a was not.
        ({b"b": 1}, [], [b"a", b"b"], [b"b"]),
        ({b"a": 1, b"b": 2}, [], [b"a", b"b", b"c"], [b"b"]),
        # The backend server has survived a.
        ({}, [b"a quick"], [b"a quick", b"b"], [b"b"]),
        ({b"a quick": 2}, [b"a quick"], [b"a quick", b"b"], [b"b"]),
        ({}, [b"a quick"], [b"a quick"], []),
    ],
)
def test_calls_blamed_for_a_crash(known, answered, running, blamed):
    async def main():
        recorder = Recorder()
        log = CrashLog(CLOCK)
        for body, count in known.items():
            log.add(
                Crash(fingerprint(body), f"i{n}", 1, CLOCK.monotonic())
                for n in range(count)
            )
        async with open_ending_backend() as (backend, port):
            owner = make_owner(
                port,
                slots=4,
                service=SERVICE,
                crashes=log,
                on_crash=recorder.record,
            )
            for body in answered:
                await owner.run_call(make_call(body=body))
            backend.answered = b"no request"
            await run_calls(owner, backend, running, crash)
            [crashes] = recorder.reports
            expected = {fingerprint(body) for body in blamed}
            assert {c.fingerprint for c in crashes} == expected

    curio.run(main)


def make_request(
    method=b"GET", host=b"h", target=b"/a", caller=b"c", body=b""
):
    headers = [(b"host", host), (b"caller", caller), (b"x-id", body + target)]
    return HttpRequest(method, target, headers, body)


@pytest.mark.parametrize(
    ("changes", "is_same"),
    [
        ({}, True),
        ({"host": b"H"}, True),
        ({"method": b"POST"}, False),
        ({"host": b"g"}, False),
        ({"target": b"/b"}, False),
        ({"caller": b"d"}, False),
        ({"body": b"x"}, False),
        # Parts that are the same when joined.
        ({"host": b"h/a", "target": b""}, False),
    ],
)
def test_fingerprint_is_of_path_caller_and_body(changes, is_same):
    first = compute_fingerprint(make_request(), NAMES)
    second = compute_fingerprint(make_request(**changes), NAMES)
    assert (first == second) is is_same
    assert len(first) == 16


def test_fingerprint_ignores_id_and_deadline():
    values = [
        compute_fingerprint(
            HttpRequest(
                b"GET",
                b"/a",
                [
                    (b"host", b"h"),
                    (DEFAULT_HEADER_NAMES.request_id, name),
                    (DEFAULT_HEADER_NAMES.deadline, name),
                ],
            ),
            DEFAULT_HEADER_NAMES,
        )
        for name in (b"1", b"2")
    ]
    assert values[0] == values[1]


# Guards against answers that release a request although the backend server may
# not have run it to its end.
@pytest.mark.parametrize(
    ("status", "is_evidence"),
    [
        (200, True),
        (304, True),
        (400, False),
        (413, False),
        (429, False),
        (500, False),
        (503, False),
        (504, False),
    ],
)
def test_only_a_success_is_evidence_for_a_request(status, is_evidence):
    async def main():
        log = CrashLog(CLOCK)
        async with open_ending_backend() as (backend, port):
            backend.status = status
            owner = make_owner(port, service=SERVICE, crashes=log)
            await try_call(owner, make_call(body=b"quick"))
            assert log.was_answered(fingerprint(b"quick")) is is_evidence
            assert not log.was_answered(fingerprint(b"other"))

    curio.run(main)
