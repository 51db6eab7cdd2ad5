"""The subcommands of auburnctl and their options."""

import getpass
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from auburnjunction.commands import control_actions as actions
from auburnjunction.commands.control_views import View
from auburnjunction.operators.clients import (
    OperatorsClient,
    make_operation_id,
)

File = Annotated[Path, cappa.Arg(help="JSON configuration file.")]
Base = Annotated[
    int,
    cappa.Arg(
        long="--revision",
        help="Revision that the change is based on; 0 for the first one.",
    ),
]
OperationId = Annotated[
    str,
    cappa.Arg(
        long="--operation-id",
        default="",
        help="Id of this write; reuse it to retry after a lost response.",
    ),
]
Operator = Annotated[
    str, cappa.Arg(long=True, default="", help="Author of the change.")
]
Comment = Annotated[
    str, cappa.Arg(long=True, default="", help="Reason for the change.")
]
Instance = Annotated[str, cappa.Arg(help="Name of the backend server.")]


def _make_change_options(command, base_revision: int) -> actions.ChangeOptions:
    return actions.ChangeOptions(
        base_revision,
        command.operation_id or make_operation_id(),
        command.operator or getpass.getuser(),
        command.comment,
    )


@cappa.command(name="validate", help="Check a configuration file.")
@attrs.define
class Validate:
    """Validates a file locally, without a call to a node."""

    file: File

    async def run(self, _client: OperatorsClient) -> View:
        """Return the outcome."""
        return actions.validate_file(self.file)


@cappa.command(name="create", help="Commit the first configuration.")
@attrs.define
class Create:
    """Commits a file as revision 1."""

    file: File
    operation_id: OperationId = ""
    operator: Operator = ""
    comment: Comment = ""

    async def run(self, client: OperatorsClient) -> View:
        """Return the commit."""
        return await actions.apply_file(
            client, self.file, _make_change_options(self, 0)
        )


@cappa.command(name="apply", help="Commit a change of the configuration.")
@attrs.define
class Apply:
    """Commits a file as a change of a base revision."""

    file: File
    revision: Base
    operation_id: OperationId = ""
    operator: Operator = ""
    comment: Comment = ""

    async def run(self, client: OperatorsClient) -> View:
        """Return the commit."""
        options = _make_change_options(self, self.revision)
        return await actions.apply_file(client, self.file, options)


@cappa.command(name="get", help="Show a configuration.")
@attrs.define
class Get:
    """Shows one revision; 0 is the head."""

    revision: Annotated[
        int, cappa.Arg(long=True, default=0, help="0: the head.")
    ] = 0

    async def run(self, client: OperatorsClient) -> View:
        """Return the configuration."""
        return await actions.get_configuration(client, self.revision)


@cappa.command(name="list", help="List services with their routes.")
@attrs.define
class ListServices:
    """Lists the services of the head."""

    async def run(self, client: OperatorsClient) -> View:
        """Return the services."""
        return await actions.list_services(client)


@cappa.command(name="diff", help="Compare two revisions or files.")
@attrs.define
class Diff:
    """Compares two configurations, each a revision, a file or 'head'."""

    old: Annotated[str, cappa.Arg(help="Revision, file or 'head'.")]
    new: Annotated[str, cappa.Arg(help="Revision, file or 'head'.")] = "head"

    async def run(self, client: OperatorsClient) -> View:
        """Return the differences."""
        return await actions.compare_revisions(client, self.old, self.new)


@cappa.command(name="history", help="List commits, newest first.")
@attrs.define
class History:
    """Lists commits up to a revision."""

    before: Annotated[
        int, cappa.Arg(long=True, default=0, help="0: the head.")
    ] = 0
    limit: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of commits.")
    ] = 20

    async def run(self, client: OperatorsClient) -> View:
        """Return the commits."""
        return await actions.list_history(client, self.before, self.limit)


@cappa.command(
    name="rollback", help="Commit the content of an old revision as a new one."
)
@attrs.define
class Rollback:
    """Commits the content of an old revision as a new one."""

    to: Annotated[int, cappa.Arg(long=True, help="Revision to restore.")]
    revision: Base
    operation_id: OperationId = ""
    operator: Operator = ""
    comment: Comment = ""

    async def run(self, client: OperatorsClient) -> View:
        """Return the commit."""
        options = _make_change_options(self, self.revision)
        return await actions.roll_back(client, self.to, options)


@cappa.command(name="wait", help="Wait until a revision is in force.")
@attrs.define
class Wait:
    """Waits until a revision is in force on enough nodes, or a deadline."""

    revision: Annotated[
        int, cappa.Arg(long=True, default=0, help="0: the head.")
    ] = 0
    nodes: Annotated[
        int, cappa.Arg(long=True, default=0, help="0: every live node.")
    ] = 0
    deadline_s: Annotated[
        float, cappa.Arg(long="--deadline-s", help="Seconds to wait.")
    ] = 30.0

    async def run(self, client: OperatorsClient) -> View:
        """Return the number of nodes on which it is in force."""
        options = actions.WaitOptions(
            self.revision, self.nodes, self.deadline_s
        )
        return await actions.wait_until_in_force(
            client, options, lambda _: None
        )


@cappa.command(name="operation", help="Look up a write by its operation id.")
@attrs.define
class Operation:
    """Shows the commit of a write, if it was applied."""

    operation_id: Annotated[str, cappa.Arg(help="Id of the write.")]

    async def run(self, client: OperatorsClient) -> View:
        """Return the commit."""
        return await actions.find_operation(client, self.operation_id)


@cappa.command(name="nodes", help="List nodes and their revisions.")
@attrs.define
class Nodes:
    """Lists the nodes that the called node has in its membership view."""

    async def run(self, client: OperatorsClient) -> View:
        """Return the nodes."""
        return await actions.list_nodes(client)


@cappa.command(name="backends", help="List backend servers.")
@attrs.define
class Backends:
    """Lists backend servers, of one service or of all."""

    service: Annotated[
        str,
        cappa.Arg(long=True, default="", help="Only those of this service."),
    ] = ""

    async def run(self, client: OperatorsClient) -> View:
        """Return the backend servers."""
        return await actions.list_backends(client, self.service)


@cappa.command(
    name="drain", help="Stop sending new calls to a backend server."
)
@attrs.define
class Drain:
    """Starts the draining of a backend server."""

    instance: Instance

    async def run(self, client: OperatorsClient) -> View:
        """Return the backend server."""
        return await actions.drain_instance(client, self.instance, True)


@cappa.command(
    name="undrain", help="Resume sending calls to a drained backend server."
)
@attrs.define
class Undrain:
    """Ends the draining of a backend server."""

    instance: Instance

    async def run(self, client: OperatorsClient) -> View:
        """Return the backend server."""
        return await actions.drain_instance(client, self.instance, False)


Command = (
    Validate
    | Create
    | Apply
    | Get
    | ListServices
    | Diff
    | History
    | Rollback
    | Wait
    | Operation
    | Nodes
    | Backends
    | Drain
    | Undrain
)
