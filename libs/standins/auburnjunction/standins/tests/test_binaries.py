"""Tests of the stand-ins' command lines, exit codes and signals."""

import signal
import socket
import subprocess
import sys
import threading

import pytest

from auburnjunction.standins import backends, forwarders, platforms
from auburnjunction.standins.deployments import (
    HOST,
    fetch,
    find_port,
    is_answering,
    wait_until,
)

TIMEOUT_S = 10.0
BACKEND_ARGUMENTS = ["--service", "box", "--instance", "box-1", "--port", "0"]


def run_main(module, arguments, monkeypatch, capsys):
    """Return exit code, output and error lines of a module's main."""
    monkeypatch.setattr(sys, "argv", ["auburn-standin", *arguments])
    with pytest.raises(SystemExit) as caught:
        module.main()
    captured = capsys.readouterr()
    return caught.value.code, captured.out, captured.err.splitlines()


@pytest.mark.parametrize(
    ("module", "arguments", "words"),
    [
        (platforms, [], ["--port"]),
        (platforms, ["--port", "x"], ["--port", "'x'", "write"]),
        (platforms, ["--port", "70000"], ["--port", "70000", "65535"]),
        (
            backends,
            [*BACKEND_ARGUMENTS, "--slots", "0"],
            ["--slots", "0", "write"],
        ),
        (
            backends,
            [*BACKEND_ARGUMENTS, "--announce", "h"],
            ["--announce", "'h'"],
        ),
        (forwarders, ["--listen", "0", "--to", "h:x"], ["--to", "'h:x'"]),
        (forwarders, ["--speed", "1"], ["--speed"]),
    ],
)
def test_invalid_argument_prints_one_error_line(
    module, arguments, words, monkeypatch, capsys
):
    code, _, lines = run_main(module, arguments, monkeypatch, capsys)
    assert code == 2
    assert len(lines) == 1
    assert all(word in lines[0] for word in words)


@pytest.mark.parametrize("module", [platforms, backends, forwarders])
@pytest.mark.parametrize("argument", ["--help", "--version"])
def test_help_and_version_exit_with_0(module, argument, monkeypatch, capsys):
    code, output, lines = run_main(module, [argument], monkeypatch, capsys)
    assert (code, lines) == (0, [])
    assert output


def test_address_in_use_prints_one_error_line(monkeypatch, capsys):
    with socket.create_server((HOST, 0)) as listener:
        port = str(listener.getsockname()[1])
        code, _, lines = run_main(
            platforms, ["--port", port], monkeypatch, capsys
        )
    assert code == 4
    assert len(lines) == 1
    assert port in lines[0]


@pytest.mark.parametrize(
    ("drain_s", "code", "answered"), [("5", 0, True), ("0", 1, False)]
)
def test_sigterm_drains_until_drain_limit(drain_s, code, answered):
    port = find_port()
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "auburnjunction.standins.backends"),
            *("--service", "box", "--instance", "box-1"),
            *("--port", str(port), "--delay-ms", "700"),
            *("--drain-s", drain_s),
        ],
        stderr=subprocess.DEVNULL,
    )
    answers = []

    def call():
        try:
            answers.append(fetch(port, "/pay", "POST", b"p"))
        except OSError as exc:
            answers.append(exc)

    def is_running():
        return b'"running":1' in fetch(port, "/stats")[1]

    try:
        wait_until(lambda: is_answering(port, "/live"), TIMEOUT_S, "live")
        thread = threading.Thread(target=call)
        thread.start()
        wait_until(is_running, TIMEOUT_S, "one running request")
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == code
        thread.join(TIMEOUT_S)
        assert (answers == [(200, b"p")]) is answered
    finally:
        process.kill()
        process.wait()
