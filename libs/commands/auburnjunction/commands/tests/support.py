"""A fake caller listener of a node with scripted responses, for tests."""

from contextlib import asynccontextmanager

import attrs
import orjson

from auburnjunction.base.clocks import SystemClock
from auburnjunction.commands.mixes import CallMix, LoadPlan, RetrySettings
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.pipelines import PeerDisconnectedError
from auburnjunction.http.servers import open_server

HOST = "127.0.0.1"


@attrs.define
class ScriptedNode:
    """Responds to calls as scripted and records their executions.

    Each call takes the next step; the last step repeats:

    - ok: executes the call and responds with 200
    - duplicate: executes the call twice and responds with 200
    - refuse: responds with 503 and outcome not-run, without execution
    - false_refuse: executes the call, but responds as refuse does
    - no_execution: responds with 200 without execution
    - drop: executes the call, then closes the connection
    - unknown: responds with 502 and outcome unknown, without execution
    - wrong: executes the call, but responds with another call's id
    - fail: executes the call and responds with 500
    """

    steps: list[str]
    executions: list[str] = attrs.field(factory=list)
    calls: int = 0

    async def handle(self, request):
        if request.path == "/executions":
            return self._list_executions(request)
        index = min(self.calls, len(self.steps) - 1)
        self.calls += 1
        return self._respond(self.steps[index], request)

    def _respond(self, step, request):
        call_id = request.header(b"x-call-id")
        executions = {
            "refuse": 0,
            "no_execution": 0,
            "unknown": 0,
            "duplicate": 2,
        }.get(step, 1)
        self.executions += [call_id.decode()] * executions
        if step == "drop":
            raise PeerDisconnectedError
        if step in ("refuse", "false_refuse"):
            return HttpResponse(503, [(b"auburn-outcome", b"not-run")])
        if step == "unknown":
            return HttpResponse(502, [(b"auburn-outcome", b"unknown")])
        if step == "fail":
            return HttpResponse(500, [(b"auburn-outcome", b"ok")])
        if step == "wrong":
            call_id = b"another"
        headers = [(b"auburn-outcome", b"ok"), (b"x-call-id", call_id)]
        return HttpResponse(200, headers, request.body)

    def _list_executions(self, request):
        after = int(request.target.rpartition(b"=")[2])
        values = [
            {
                "call_id": executed_id,
                "instance": "i",
                "state": "finished",
                "late": False,
            }
            for executed_id in self.executions[after:]
        ]
        return HttpResponse(200, [], orjson.dumps({"executions": values}))


@asynccontextmanager
async def open_node(steps):
    """Run a ScriptedNode; yield it and its address."""
    node = ScriptedNode(list(steps))
    async with open_server(HOST, 0, node.handle, SystemClock()) as server:
        yield node, f"{HOST}:{server.port}"


def make_plan(address, *, attempts=3, check=True, **mix_options) -> LoadPlan:
    """Return a plan of a 0.2 s load with one mix."""
    options = {"rate_per_s": 200.0, "priority": "critical"} | mix_options
    mix = CallMix(name="payments", path="/payments/{n}", **options)
    return LoadPlan(
        nodes=(address,),
        mixes=(mix,),
        duration_s=0.2,
        timeout_ms=2000,
        retries=RetrySettings(attempts, first_pause_ms=1.0),
        backends=(address,) if check else (),
        settle_s=0.0,
    )
