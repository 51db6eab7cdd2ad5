"""Arguments and exit codes of auburn-load and auburn-report."""

import sys

import orjson
import pytest

from auburnjunction.base.errors import ExitCode
from auburnjunction.commands import loads, reports

MIX = {"name": "m", "path": "/m", "rate_per_s": 1.0}


def run_main(module, arguments, monkeypatch, capsys):
    """Run a program's main; return exit code, stdout and stderr lines."""
    monkeypatch.setattr(sys, "argv", ["auburn", *arguments])
    with pytest.raises(SystemExit) as caught:
        module.main()
    captured = capsys.readouterr()
    return caught.value.code, captured.out, captured.err.splitlines()


def write_json(path, values):
    path.write_bytes(orjson.dumps(values))
    return str(path)


@pytest.mark.parametrize("module", [loads, reports])
@pytest.mark.parametrize("argument", ["--help", "--version"])
def test_help_and_version_exit_ok(module, argument, monkeypatch, capsys):
    code, output, lines = run_main(module, [argument], monkeypatch, capsys)
    assert (code, lines) == (ExitCode.OK, [])
    assert output


@pytest.mark.parametrize(
    ("module", "arguments", "values", "code", "words"),
    [
        (loads, [], None, ExitCode.USAGE, ["--settings"]),
        (loads, ["--settings", "none"], None, ExitCode.SETTINGS, ["none"]),
        (
            loads,
            ["--check"],
            {"nodes": ["h"], "mixes": [MIX]},
            ExitCode.SETTINGS,
            ["nodes", "'h'", "HOST:PORT"],
        ),
        (
            loads,
            ["--check"],
            {"nodes": ["h:1"], "mixes": [MIX], "warm_up_s": 10},
            ExitCode.SETTINGS,
            ["warm_up_s", "10"],
        ),
        (
            loads,
            ["--check-executions"],
            {"nodes": ["h:1"], "mixes": [MIX]},
            ExitCode.SETTINGS,
            ["backends"],
        ),
        (reports, [], None, ExitCode.USAGE, ["--log", "--node"]),
        (reports, ["--node", "h"], None, ExitCode.USAGE, ["'h'"]),
        (reports, ["--log", "none"], None, ExitCode.NOT_FOUND, ["none"]),
        (
            reports,
            ["--node", "127.0.0.1:1"],
            None,
            ExitCode.FAILED,
            ["/metrics"],
        ),
        (
            reports,
            ["--check"],
            {"objectives": [{"priority": "high", "good_share": 2}]},
            ExitCode.SETTINGS,
            ["objectives.0.good_share", "2"],
        ),
        (reports, ["--duration-s", "x"], None, ExitCode.USAGE, ["'x'"]),
    ],
)
def test_invalid_input_prints_one_error_line(
    module, arguments, values, code, words, tmp_path, monkeypatch, capsys
):
    if values is not None:
        path = write_json(tmp_path / "settings.json", values)
        arguments = ["--settings", path, *arguments]
    found, _, lines = run_main(module, arguments, monkeypatch, capsys)
    assert found == code
    assert len(lines) == 1
    assert all(word in lines[0] for word in words)


def write_log(path, outcome):
    line = {
        "time": "2026-12-04T05:00:00+00:00",
        "message": "call",
        "service": "billing",
        "priority": 1,
        "outcome": outcome,
        "duration_ms": 10.0,
    }
    path.write_bytes((orjson.dumps(line) + b"\n") * 20)
    return str(path)


@pytest.mark.parametrize(
    ("outcome", "fail_on", "code"),
    [
        ("ok", "page", ExitCode.OK),
        ("unknown", "page", ExitCode.FAILED),
        ("unknown", "ticket", ExitCode.FAILED),
        ("unknown", "never", ExitCode.OK),
    ],
)
def test_fail_on_sets_exit_code_by_severity(
    outcome, fail_on, code, tmp_path, monkeypatch, capsys
):
    log = write_log(tmp_path / "node.log", outcome)
    page = tmp_path / "burn.html"
    arguments = ["--log", log, "--fail-on", fail_on, "--html", str(page)]
    arguments += ["--output", "json"]
    found, output, _ = run_main(reports, arguments, monkeypatch, capsys)
    assert found == code
    (service,) = orjson.loads(output)["services"]
    assert service["state"] == ("ok" if outcome == "ok" else "page")
    assert "billing" in page.read_text()
