"""Tests of auburnctl against an administration server."""

import curio
import orjson
import pytest
from cappa import parse

from auburnjunction.base.errors import ExitCode
from auburnjunction.commands.controls import Auburnctl, run_command
from auburnjunction.distribution.records import HEAD_KEY
from auburnjunction.model.codecs import dump_snapshot_json
from auburnjunction.model.routes import Route
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.operators.tests.support import (
    Administration,
    make_snapshot,
)
from auburnjunction.storage.tables import UnknownOutcomeError


def run_steps(steps, administration=None):
    """Run auburnctl commands against one server; return their exit codes."""
    administration = administration or Administration()
    codes = []

    def run(arguments):
        address = ["--address", str(administration.address)]
        options = parse(Auburnctl, argv=[*arguments, *address])
        return run_command(options)

    async def main():
        async with administration.open():
            for arguments in steps:
                code = await curio.run_in_thread(run, arguments)
                codes.append(code)

    curio.run(main)
    return codes


def write_file(tmp_path, name, snapshot):
    path = tmp_path / name
    path.write_bytes(dump_snapshot_json(snapshot))
    return str(path)


@pytest.fixture
def files(tmp_path):
    bad = Snapshot((), (Route("pay", "/pay", "gone"),))
    return {
        "first": write_file(tmp_path, "first.json", make_snapshot(1)),
        "second": write_file(tmp_path, "second.json", make_snapshot(2)),
        "bad": write_file(tmp_path, "bad.json", bad),
    }


def test_commands_succeed_over_a_configuration_lifecycle(files, capsys):
    first, second = files["first"], files["second"]
    codes = run_steps(
        [
            ["validate", first],
            ["create", first, "--operation-id", "one"],
            ["apply", second, "--revision", "1"],
            ["wait", "--revision", "2", "--deadline-s", "5"],
            ["rollback", "--to", "1", "--revision", "2"],
            ["list"],
            ["nodes"],
            ["backends", "--service", "billing"],
            ["drain", "billing-1"],
            ["undrain", "billing-1"],
            ["operation", "one"],
            ["history", "--output", "json"],
        ]
    )
    assert codes == [ExitCode.OK] * len(codes)
    output = capsys.readouterr().out
    history = orjson.loads(output[output.rindex("\n[") :])
    assert [commit["revision"] for commit in history] == [3, 2, 1]


def test_get_output_is_accepted_as_configuration_file(files, tmp_path, capsys):
    administration = Administration()
    steps = [["create", files["first"]], ["get", "--output", "json"]]
    assert run_steps(steps, administration) == [0, 0]
    output = capsys.readouterr().out
    got = orjson.loads(output[output.index("\n{") :])
    copy = tmp_path / "copy.json"
    copy.write_bytes(orjson.dumps(got["configuration"]))
    diff = ["diff", str(copy), "head", "--output", "json"]
    assert run_steps([diff], administration) == [0]
    assert orjson.loads(capsys.readouterr().out) == []


@pytest.mark.parametrize(
    ("step", "code", "words"),
    [
        (["validate", "bad"], 8, ["routes.pay.service", "gone", "add the"]),
        (["apply", "bad", "--revision", "1"], 8, ["routes.pay.service"]),
        (["apply", "second", "--revision", "9"], 6, ["revision 9", "1"]),
        (["validate", "no-such-file"], 2, ["no-such-file", "give the path"]),
        (["get", "--revision", "7"], 10, ["revision 7", "1 to 1"]),
        (["operation", "none"], 10, ["none", "repeat the change"]),
        (["drain", "none"], 10, ["none"]),
        (
            ["wait", "--revision", "2", "--deadline-s", "0.1"],
            9,
            ["revision 2", "0 of 1 nodes", "auburnctl nodes"],
        ),
        (["nodes", "--address", "nowhere"], 2, ["nowhere", "HOST:PORT"]),
    ],
)
def test_failure_prints_one_line_and_sets_exit_code(
    files, capsys, step, code, words
):
    step = [files.get(word, word) for word in step]
    codes = run_steps([["create", files["first"]], step])
    assert codes == [0, code]
    error = capsys.readouterr().err.strip().splitlines()[-1]
    assert error.startswith("auburnctl: ")
    assert all(word in error for word in words), error


def lose_response_and_stop_table(table):
    """Apply the next head write, lose its response and stop the table."""
    put_if = table.put_if

    async def put_and_stop(key, *args):
        if key != HEAD_KEY:
            return await put_if(key, *args)
        table.put_if = put_if
        await put_if(key, *args)
        table.available = False
        raise UnknownOutcomeError("the response was lost")

    table.put_if = put_and_stop


def test_lost_response_is_resolved_by_operation_id(files, capsys):
    administration = Administration()
    table = administration.table
    run_steps([["create", files["first"]]], administration)
    step = ["apply", files["second"], "--revision", "1", "--timeout-s", "1"]
    step += ["--operation-id", "two"]
    lose_response_and_stop_table(table)
    assert run_steps([step], administration) == [ExitCode.UNKNOWN_OUTCOME]
    assert "operation id two" in capsys.readouterr().err
    codes = run_steps([step], administration)
    assert codes == [ExitCode.PLATFORM_UNAVAILABLE]
    table.available = True
    codes = run_steps([["operation", "two"], step], administration)
    assert codes == [ExitCode.OK, ExitCode.OK]
    history = [["history", "--output", "json"]]
    capsys.readouterr()
    run_steps(history, administration)
    commits = orjson.loads(capsys.readouterr().out)
    assert [commit["revision"] for commit in commits] == [2, 1]
