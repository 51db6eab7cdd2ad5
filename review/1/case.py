"""A node is stopped while calls that it took wait in a queue elsewhere."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
    PoliteClients,
    Result,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

# Figures of katalog-noc on the grown deployment.
WORK_S = 1.4
TIMEOUT_MS = 10_000
TARGET_MS = 8000
SLOTS = 9
CLIENTS = 45
# Time from the first request until SIGTERM.
LEAD_S = 9.0
LOSS_SLACK_S = BOUNDS["loss_slack_ms"] / 1000
LAST_SEND_S = 3.0


def find_lost(results, runs, term_s: float) -> list[Result]:
    """Return the requests that the rule counts as lost."""
    grace_s = BOUNDS["grace_s"]
    last_sixth_s = term_s + grace_s * 5 / 6
    by_id = {run.request_id: run for run in runs}
    lost = []
    for result in results:
        if result.status or result.gave_up:
            continue
        if not term_s <= result.ended_s <= term_s + grace_s + 1:
            continue
        run = by_id.get(result.request_id)
        is_late = result.ended_s - result.sent_s > LOSS_SLACK_S
        if run is None and not is_late:
            continue
        was_at_work = run is not None and (
            run.ended_s is None or run.ended_s >= last_sixth_s
        )
        if was_at_work and result.sent_s <= term_s + LAST_SEND_S:
            continue
        lost.append(result)
    return lost


async def case(record, deployment) -> bool:
    """Return whether requests were lost around a SIGTERM."""
    route = make_route(
        "catalogue",
        "catalogue",
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=TARGET_MS,
        priority=2,
    )
    await deployment.open_store(
        make_configuration(2, ["catalogue", "orders"], [route])
    )
    entry, _ = await deployment.add_machine("orders", SLOTS, WORK_S)
    await deployment.add_machine("orders", SLOTS, WORK_S)
    _, catalogue = await deployment.add_machine("catalogue", SLOTS, WORK_S)
    await deployment.wait_until_ready()
    # The nodes are in touch from then on.
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    clients = PoliteClients(record, entry, "/catalogue/nightly", TIMEOUT_MS)
    traffic = asyncio.ensure_future(
        clients.run(CLIENTS, WORK_S, time.monotonic() + LEAD_S + 8)
    )
    await asyncio.sleep(LEAD_S)
    term_s = record.now_s()
    if has_trouble():
        entry.send_signal(signal.SIGTERM)
        code = await entry.wait(BOUNDS["grace_s"])
        if code is None:
            entry.send_signal(signal.SIGKILL)
    await traffic
    lost = find_lost(clients.results, catalogue.runs, term_s)
    for result in lost:
        runs = [r for r in catalogue.runs if r.request_id == result.request_id]
        record.add(
            f"lost   {result.request_id}: sent {result.sent_s - term_s:+.2f} s"
            f" and ended {result.ended_s - term_s:+.2f} s from SIGTERM; "
            f"{'it had run' if runs else 'no instance had begun it'}"
        )
    answered = sum(r.status == 200 for r in clients.results)
    refused = sum(r.status >= 400 for r in clients.results)
    record.add(
        f"{len(clients.results)} requests, {answered} with 200, {refused} "
        f"refused or failed, {len(lost)} lost"
    )
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
