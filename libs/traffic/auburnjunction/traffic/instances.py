"""Owner of one backend server: the only way in to it."""

from auburnjunction.base.clocks import Clock
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpResponse
from auburnjunction.model.services import Service
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.backends import (
    BackendClient,
    MisplacedError,
    ShedError,
)
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.claims import ClaimStore, wants_claim
from auburnjunction.traffic.headers import OWN_NAMES, HeaderNames
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.slots import SlotGate

DRAIN_POLL_S = 0.02


class InstanceOwner:
    """Runs calls on one backend server of this node, within its slots."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        instance: str,
        service: Service,
        address: Address,
        slots: int,
        connections: int,
        clock: Clock,
        metrics: OwnerMetrics,
        claims: ClaimStore | None = None,
        cold: bool = False,
        names: HeaderNames = OWN_NAMES,
    ):
        self.instance = instance
        self.service = service
        self.address = address
        self._clock = clock
        self._metrics = metrics
        self._claims = claims
        self._limit = SlotLimit(cfg, slots, connections, clock, cold)
        self._gate = SlotGate(cfg, self._limit, service.queue_limit, clock)
        self._backend = BackendClient(
            cfg, address, connections, clock, instance, names
        )
        self._backend.health_target = service.health_path.encode()
        self._is_misplaced = False

    @property
    def load(self) -> float:
        """Calls running and waiting as a share of the limit in force."""
        return (self.running + self.waiting) / self.limit

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return self._gate.running

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return self._gate.waiting

    @property
    def limit(self) -> int:
        """Number of calls that may run at one time."""
        return self._limit.value

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._gate.draining

    @property
    def suspect(self) -> bool:
        """Whether the path to the backend server is in doubt."""
        return self._backend.suspect

    def note_announced(self) -> None:
        """Note that the backend server has shown itself just now."""
        self._is_misplaced = False

    async def run_call(self, call: Call) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
        if self._is_misplaced:
            raise MisplacedError("another instance has the address")
        try:
            if self._claims is not None and wants_claim(call):
                response = await self._run_claimed(call, self._claims)
            else:
                async with self._gate.hold_slot(call):
                    response = await self._send(call)
        except TrafficError as exc:
            self._metrics.count_error(call, exc)
            raise
        self._metrics.count_answer(call)
        return Answer(response, self.load)

    def set_capacity(self, slots: int, connections: int) -> None:
        """Take over the slots and connections that were announced."""
        self._limit.set_capacity(slots, connections)

    def set_service(self, service: Service) -> None:
        """Take over the limits of a new configuration."""
        self.service = service
        self._backend.health_target = service.health_path.encode()
        self._gate.set_queue_limit(service.queue_limit)

    def restart_ramp(self) -> None:
        """Ramp up again; the backend server has just started."""
        self._limit.ramp.restart()

    def set_end(self, end_s: float) -> None:
        """Refuse calls that may not have ended by a time of the clock."""
        self._gate.set_end(end_s)

    def start_draining(self) -> None:
        """Refuse new calls as not run; finish those in flight."""
        self._gate.start_draining()

    def stop_draining(self) -> None:
        """Take new calls again."""
        self._gate.stop_draining()

    async def drain(self, limit_s: float) -> int:
        """Wait until no call is in flight; return how many remain."""
        self.start_draining()
        end_s = self._clock.monotonic() + limit_s
        while self.running + self.waiting:
            await self._gate.refuse_waiting()
            if self._clock.monotonic() >= end_s:
                break
            await self._clock.sleep(DRAIN_POLL_S)
        await self._backend.close_idle()
        return self.running + self.waiting

    async def _run_claimed(
        self, call: Call, claims: ClaimStore
    ) -> HttpResponse:
        response = claims.recall(call)
        if response is not None:
            return response
        claim = None
        try:
            async with self._gate.hold_slot(call):
                claim = await claims.acquire(call)
                if claim.response is not None:
                    return claim.response
                response = await self._send(call)
        except NotRunError:
            if claim is not None:
                await claims.release(claim)
            raise
        except BaseException:
            if claim is not None:
                claims.leave(claim)
            raise
        await claims.record(claim, response)
        return response

    async def _send(self, call: Call) -> HttpResponse:
        start_s = self._clock.monotonic()
        timeout_s = self.service.attempt_timeout_ms / 1000
        try:
            response = await self._backend.send(call, timeout_s)
        except ShedError:
            # One that sheds below its slots does not do so for load.
            if self.running >= self.limit:
                self._limit.add_shed()
            raise
        except MisplacedError:
            self._is_misplaced = True
            raise
        except UnknownRunError:
            self._add_sample(call, start_s)
            raise
        self._add_sample(call, start_s)
        return response

    def _add_sample(self, call: Call, start_s: float) -> None:
        duration_s = self._clock.monotonic() - start_s
        self._limit.add_sample(call.route, duration_s, self.running)

    async def probe(self) -> None:
        """Ask the backend server for a sign of life if it is suspect."""
        await self._backend.probe()

    async def sweep(self) -> None:
        """Refuse what may no longer start; close what is unused."""
        await self._gate.refuse_waiting()
        if self.draining and not self.running:
            await self._backend.close_idle()
