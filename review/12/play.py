"""A departure that is acknowledged while the store is down, then a restart."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import rig  # noqa: E402

DRAIN_S = rig.BOUNDS["drain_ms"] / 1000
HEARTBEAT_MS = 1500
# Times after the acknowledgement.
KILL_S = 0.3
RESTART_S = 0.8
STORE_UP_S = 1.5
LATE_BEAT_S = 2.5
END_S = 10.0


async def run_client(mesh, node, sent):
    """Send requests one after the other; record when each was sent."""
    client, count = None, 0
    while True:
        count += 1
        request_id = f"{node.name}-{count}"
        try:
            if client is None:
                client = await rig.Client(node.ports["outbound"]).connect()
            sent[request_id] = time.monotonic()
            client.send(request_id, "/reads/a", 900)
            answer = await client.receive(1.5)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if not answer or "close" in answer.get("connection", ""):
            if client is not None:
                client.close()
            client = None
        await asyncio.sleep(0.05)


async def sleep_until(time_s):
    """Wait for a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, time_s - time.monotonic()))


async def play(mesh, trouble):
    """Return whether the departed instance got requests after drain_ms."""
    for zone in ("a", "b"):
        node, instance = mesh.add(zone, "orders", heartbeat_ms=HEARTBEAT_MS)
        instance.work_s = 0.02
    routes = [rig.make_route("reads", "orders")]
    await mesh.start(rig.make_configuration("r2", routes, ["orders"]))
    leaver = mesh.instances[0]
    sent = {}
    tasks = [
        asyncio.create_task(run_client(mesh, node, sent))
        for node in mesh.nodes
    ]
    await asyncio.sleep(2.0)
    leaver.beats = False
    # This heartbeat is sent before the departure and arrives late.
    late_beat = leaver.make_heartbeat("ready")
    if trouble:
        mesh.store.mode = "reset"
        mesh.record.write("store down")
    if await leaver.deregister() != 200:
        raise rig.CannotRunError("the departure was not acknowledged")
    acknowledged_s = time.monotonic()
    if trouble:
        await sleep_until(acknowledged_s + KILL_S)
        await asyncio.gather(*(node.kill() for node in mesh.nodes))
        mesh.record.write("all nodes killed")
        await sleep_until(acknowledged_s + RESTART_S)
        for node in mesh.nodes:
            node.settings["bootstrap"] = False
            await node.start()
        mesh.record.write("nodes started again")
    await sleep_until(acknowledged_s + STORE_UP_S)
    mesh.store.mode = "up"
    calm_s = time.monotonic()
    mesh.record.write("store up")
    await sleep_until(acknowledged_s + LATE_BEAT_S)
    status = await leaver.post("heartbeat", late_beat)
    mesh.record.write("late heartbeat arrived", status)
    await sleep_until(acknowledged_s + END_S)
    for task in tasks:
        task.cancel()
    in_touch_s = calm_s + rig.CONTACT_S
    first_s = max(acknowledged_s + DRAIN_S, in_touch_s)
    late = [
        request_id
        for request_id, run_s, _ in leaver.runs
        if sent.get(request_id, 0.0) > first_s
    ]
    mesh.record.write(
        f"{len(late)} requests, sent over {first_s - acknowledged_s:.3f} s "
        "after the acknowledgement by machines in touch, reached",
        leaver.name,
        late[:5],
    )
    return bool(late)


if __name__ == "__main__":
    rig.run_case(play, FOLDER)
