"""Reading of configuration files for auburnctl."""

from pathlib import Path

from auburnjunction.base.errors import ErrorCode
from auburnjunction.commands.control_errors import ControlError, UsageError
from auburnjunction.model.codecs import CodecError, load_snapshot_json
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.model.validators import Problem


class InvalidFileError(ControlError):
    """Raised for a configuration file that fails validation."""

    def __init__(self, path: Path, problems: list[Problem]):
        super().__init__(
            f"{path}: " + "; ".join(str(problem) for problem in problems),
            ErrorCode.INVALID,
        )
        self.problems = problems


def read_configuration(path: Path) -> Snapshot:
    """Read a configuration from a JSON file; raise ControlError."""
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise UsageError(
            f"{path} cannot be read ({exc.strerror})",
            "give the path of a JSON configuration file",
        ) from exc
    try:
        return load_snapshot_json(content)
    except CodecError as exc:
        raise ControlError(f"{path}: {exc.message}", exc.code) from exc
