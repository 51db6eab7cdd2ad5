"""Tests of the guarantees to users on whole deployments under failure."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime

import pytest

from auburnjunction.base.errors import ExitCode
from auburnjunction.standins.processes import fetch, wait_until
from auburnjunction.standins.systems import (
    CONVERGENCE_LIMIT_S,
    LEAVING_LIMIT_S,
    check_guarantees,
    count_calls,
    open_system,
)

FREEZE_S = 12.0
OUTAGE_S = 6.0
RECOVERY_LIMIT_S = 5.0
QUEUED_CALLS = 20
# Covers recovery, the second load and the resumption of a frozen process.
SETTLE_S = 15.0


@pytest.mark.parametrize(
    ("killed", "frozen"), [(True, False), (False, True), (True, True)]
)
def test_guarantees_hold_after_host_failure(tmp_path, killed, frozen):
    with open_system(tmp_path) as system:
        load = system.start_load(4.0, rate_per_s=60.0, settle_s=SETTLE_S)
        time.sleep(2.0)
        # One of two instances of a service whose calls must not run twice.
        failed_host = system.hosts[1]
        backend = system.deployment.backends[failed_host.name]
        if killed:
            system.deployment.nodes[failed_host.name].kill()
        if frozen:
            backend.send_signal(signal.SIGSTOP)
        system.commit_change()
        running = [h for h in system.hosts if h is not failed_host]
        system.wait_in_force(running)
        time.sleep(RECOVERY_LIMIT_S)
        ports = [f"127.0.0.1:{host.backend_port}" for host in running]
        later = system.start_load(2.0, backends=ports).finish()
        check_guarantees(later)
        assert count_calls(later, "ok") == count_calls(later, "sent"), later
        # The resumed backend server may run requests that it had received
        # before the freeze, but none that has already run elsewhere.
        backend.send_signal(signal.SIGCONT)
        check_guarantees(load.finish())
        system.check_revisions_increase()


def test_killed_nodes_restart_at_head_revision(tmp_path):
    with open_system(tmp_path) as system:
        system.commit_change()
        system.wait_in_force()
        nodes = system.deployment.nodes.values()
        for node in nodes:
            node.kill()
        for node in nodes:
            node.start()
        system.deployment.wait_ready()
        system.wait_in_force()
        system.deployment.wait_known()
        for name in system.deployment.nodes:
            assert system.list_revisions(name)[-1] == system.revision
        result = system.start_load(2.0).finish()
        check_guarantees(result)
        assert count_calls(result, "ok") == count_calls(result, "sent"), result


def test_resumed_node_does_not_serve_stale_revision(tmp_path):
    with open_system(tmp_path) as system:
        frozen = system.hosts[2]
        node = system.deployment.nodes[frozen.name]
        node.send_signal(signal.SIGSTOP)
        # By then the other nodes have marked it dead and do not push to it.
        time.sleep(FREEZE_S)
        system.commit_change()
        since = datetime.now(UTC)
        # These calls queue in the node's sockets and are the first input that
        # it processes when it resumes.
        with ThreadPoolExecutor(QUEUED_CALLS) as pool:
            for _ in range(QUEUED_CALLS):
                pool.submit(fetch, frozen.caller_port, "/calendar/1")
            time.sleep(0.5)
            node.send_signal(signal.SIGCONT)
        system.wait_in_force()
        calls = system.list_calls(frozen.name, since)
        assert len(calls) == QUEUED_CALLS
        for call in calls:
            served_stale = (
                call["outcome"] == "ok" and call["revision"] < system.revision
            )
            assert not served_stale, call
        system.check_revisions_increase()


def test_platform_outage_keeps_revision_in_force(tmp_path):
    with open_system(tmp_path) as system:
        load = system.start_load(OUTAGE_S)
        system.set_platform_faults(down=True)
        path = system.write_change(2)
        refused = system.run_auburnctl("apply", path, "--revision", "1")
        assert refused.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        result = load.finish()
        check_guarantees(result)
        reads = [
            row
            for row in result["by_priority"]
            if row["priority"] in ("high", "low")
        ]
        assert all(row["ok"] == row["sent"] for row in reads), reads
        for host in system.hosts:
            assert system.deployment.read_revision(host) == 1
        system.set_platform_faults()
        system.commit_change()
        system.wait_in_force(timeout_s=CONVERGENCE_LIMIT_S)
        assert system.read_platform_stats()["peak_reads_per_s"] < 2000


def test_commit_with_lost_answer_is_applied_once(tmp_path):
    with open_system(tmp_path) as system:
        system.set_platform_faults(lost_answers=1)
        system.commit_change()
        system.wait_in_force()
        assert system.revision == 2
        history = system.run_auburnctl("history")
        assert history.exit_code == 0, history.error


def test_node_restart_cuts_off_no_call(tmp_path):
    with open_system(tmp_path) as system:
        load = system.start_load(8.0)
        time.sleep(1.0)
        for host in system.hosts[:2]:
            node = system.deployment.nodes[host.name]
            node.send_signal(signal.SIGTERM)
            assert node.wait() == 0
            node.start()
            system.deployment.wait_ready([host])
        result = load.finish()
        check_guarantees(result)
        assert count_calls(result, "unknown") == 0, result
        assert count_calls(result, "ok") == count_calls(result, "sent"), result


def test_drained_backend_server_gets_no_new_calls(tmp_path):
    with open_system(tmp_path) as system:
        instance = system.hosts[0].instance
        port = system.hosts[0].backend_port
        load = system.start_load(7.0)
        drained = system.run_auburnctl("drain", instance, host=3)
        assert drained.exit_code == 0, drained.error
        time.sleep(LEAVING_LIMIT_S)
        before = fetch(port, "/executions?after=0")[1]
        time.sleep(2.0)
        assert fetch(port, "/executions?after=0")[1] == before
        result = load.finish()
        check_guarantees(result)
        assert count_calls(result, "unknown") == 0, result


@pytest.mark.parametrize("cut", ["both", "to-server"])
def test_isolated_data_centre_serves_calls_and_catches_up(tmp_path, cut):
    with open_system(tmp_path, with_links=True) as system:
        links = system.deployment.link_map
        isolated = system.hosts[0].data_centre
        inside = [h for h in system.hosts if h.data_centre == isolated]
        outside = [h for h in system.hosts if h.data_centre != isolated]
        links.isolate(isolated, cut)
        system.commit_change(host=system.hosts.index(outside[0]))
        system.wait_in_force(outside)
        path = f"/{find_readable_path(inside)}/1"
        wait_until(
            lambda: fetch(inside[0].caller_port, path)[0] == 200,
            CONVERGENCE_LIMIT_S,
            "a call served inside the isolated data centre",
        )
        links.rejoin(isolated)
        system.wait_in_force(inside)
        system.check_revisions_increase()


def find_readable_path(hosts) -> str:
    """Return the path of a read route that one of the hosts serves."""
    services = {host.service for host in hosts}
    return "calendar" if "delivery-calendar" in services else "records"


def test_one_of_two_concurrent_commits_wins(tmp_path):
    with open_system(tmp_path) as system:
        paths = [system.write_change(number) for number in (10, 11)]

        def apply(index):
            return system.run_auburnctl(
                "apply", paths[index], "--revision", "1", host=index
            )

        with ThreadPoolExecutor(2) as pool:
            results = list(pool.map(apply, (0, 1)))
        codes = sorted(result.exit_code for result in results)
        assert codes == [ExitCode.OK, ExitCode.CONFLICT], results
        system.revision = 2
        system.wait_in_force()


def test_backend_server_restart_cuts_off_no_call(tmp_path):
    with open_system(tmp_path) as system:
        load = system.start_load(5.0, settle_s=3.0)
        time.sleep(2.0)
        backend = system.deployment.backends[system.hosts[0].name]
        backend.send_signal(signal.SIGTERM)
        assert backend.wait() == 0
        backend.start()
        result = load.finish()
        assert result["wrong"] == 0, result
        assert count_calls(result, "unknown") == 0, result
        assert count_calls(result, "ok") == count_calls(result, "sent"), result


def test_guarantees_hold_after_data_centre_failure(tmp_path):
    with open_system(tmp_path) as system:
        load = system.start_load(4.0, settle_s=12.0)
        time.sleep(2.0)
        lost = [h for h in system.hosts if h.data_centre.endswith("1")]
        running = [h for h in system.hosts if h not in lost]
        for host in lost:
            system.deployment.nodes[host.name].kill()
        system.commit_change(host=system.hosts.index(running[0]))
        system.wait_in_force(running)
        for host in lost:
            system.deployment.nodes[host.name].start()
        system.deployment.wait_ready(lost)
        system.wait_in_force(lost)
        check_guarantees(load.finish())
        system.check_revisions_increase()
