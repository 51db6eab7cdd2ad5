"""Checks of what the settings name: listeners and the platform."""

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.node.parts import connect_platform
from auburnjunction.node.settings import PORT_FIELDS, NodeSettings
from auburnjunction.storage.tables import PlatformError

CHECK_TIMEOUT_S = 3.0
CHECKED_KEY = "config/head"
CHECKED_DIGEST = bytes(32)


class ListenerError(AuburnError):
    """A listener of the settings cannot be opened."""

    code = ErrorCode.UNAVAILABLE

    def __init__(self, cfg: NodeSettings, error: AddressInUseError):
        fields = [n for n in PORT_FIELDS if getattr(cfg, n) == error.port]
        field = fields[0] if fields else "host"
        super().__init__(
            f"settings field {field}: {error.message}; end the process that "
            "holds it or write another port"
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
    """Read from both services; raise PlatformSettingsError."""
    platform = connect_platform(cfg, clock)
    try:
        await platform.table.get(CHECKED_KEY, CHECK_TIMEOUT_S)
    except PlatformError as exc:
        raise PlatformSettingsError(
            "table_address", cfg.table_address, exc.message
        ) from exc
    try:
        await platform.objects.get(CHECKED_DIGEST, CHECK_TIMEOUT_S)
    except PlatformError as exc:
        raise PlatformSettingsError(
            "object_store_address", cfg.object_store_address, exc.message
        ) from exc
