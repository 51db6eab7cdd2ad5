"""Errors and checks of the listeners and the platform in the settings."""

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.node.components import connect_platform
from auburnjunction.node.settings import PORT_FIELDS, NodeSettings
from auburnjunction.storage.tables import PlatformError

CHECK_TIMEOUT_S = 3.0
PROBE_KEY = "config/head"
PROBE_DIGEST = bytes(32)


class ListenerError(AuburnError):
    """A listener named in the settings cannot be opened."""

    code = ErrorCode.UNAVAILABLE

    def __init__(self, cfg: NodeSettings, error: AddressInUseError):
        fields = [n for n in PORT_FIELDS if getattr(cfg, n) == error.port]
        field = fields[0] if fields else "host"
        super().__init__(
            f"settings field {field}: {error.message}; stop the process that "
            "uses it or set another port"
        )


class PlatformSettingsError(AuburnError):
    """A service of the platform cannot be reached."""

    code = ErrorCode.UNAVAILABLE

    def __init__(self, field: str, address: str, reason: str):
        super().__init__(
            f"settings field {field}: {address} does not answer ({reason}); "
            "start that service or correct the address"
        )


async def check_platform(cfg: NodeSettings, clock: Clock) -> None:
    """Read from the table and the object store.

    Raise PlatformSettingsError if one of the reads fails.
    """
    platform = connect_platform(cfg, clock)
    try:
        await platform.table.get(PROBE_KEY, CHECK_TIMEOUT_S)
    except PlatformError as exc:
        raise PlatformSettingsError(
            "table_address", cfg.table_address, exc.message
        ) from exc
    try:
        await platform.objects.get(PROBE_DIGEST, CHECK_TIMEOUT_S)
    except PlatformError as exc:
        raise PlatformSettingsError(
            "object_store_address", cfg.object_store_address, exc.message
        ) from exc
