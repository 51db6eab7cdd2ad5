"""Settings of a node."""

from pathlib import Path

import attrs

from auburnjunction.base.settings import (
    FieldError,
    SettingsError,
    check_not_empty,
    check_port,
    check_range,
    configure_settings,
    read_values,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.http.budgets import ResourceSettings
from auburnjunction.http.clients import Address, parse_address
from auburnjunction.http.messages import MessageLimits
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.placements.settings import PlacementSettings
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.routing_settings import RoutingSettings

DEFAULT_CONFIG = {
    "host": "127.0.0.1",
    "caller_port": 7400,
    "peer_port": 7401,
    "admin_port": 7402,
    "operators_port": 7403,
    "leaving_notice_s": 1.0,
    "drain_limit_s": 30.0,
    "log_level": "info",
    "address_translations": {},
}

PORT_FIELDS = ("caller_port", "peer_port", "admin_port", "operators_port")
MAX_DRAIN_LIMIT_S = 3600.0
LOG_LEVELS = ("debug", "info", "warning", "error")


def check_address(_instance, attribute, value) -> None:
    """Validate, for attrs, that a value is HOST:PORT."""
    try:
        parse_address(value)
    except ValueError as exc:
        problem, _, remedy = str(exc).partition("|")
        raise FieldError(attribute.name, problem, remedy) from exc


@attrs.frozen
class NodeSettings:
    """Settings of one node, read at its start.

    Where data centres are connected through network address translation,
    address_translations maps the HOST:PORT that another node announces to
    the HOST:PORT at which this node reaches it.
    """

    node: str = attrs.field(validator=check_not_empty)
    data_centre: str = attrs.field(validator=check_not_empty)
    table_address: str = attrs.field(validator=check_address)
    object_store_address: str = attrs.field(validator=check_address)
    host: str = attrs.field(validator=check_not_empty)
    caller_port: int = attrs.field(validator=check_port)
    peer_port: int = attrs.field(validator=check_port)
    admin_port: int = attrs.field(validator=check_port)
    # 0 disables the operators' listener.
    operators_port: int = attrs.field(validator=check_range(0, 65535))
    # Time for other nodes and callers to be notified that this node is
    # leaving; calls that arrive meanwhile are still served.
    leaving_notice_s: float = attrs.field(validator=check_range(0, 60))
    drain_limit_s: float = attrs.field(
        validator=check_range(0, MAX_DRAIN_LIMIT_S)
    )
    log_level: str = attrs.field(validator=attrs.validators.in_(LOG_LEVELS))
    address_translations: dict[str, str]
    # Time from the signal to stop during which a call is taken if it usually
    # ends in time. Later its own limit must pass before this node ends. None
    # stands for the leaving notice.
    estimates_until_s: float | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(check_range(0, 60)),
    )
    limits: MessageLimits = MessageLimits()
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    distribution: DistributionSettings = attrs.field(
        factory=DistributionSettings
    )
    admission: AdmissionSettings = attrs.field(factory=AdmissionSettings)
    routing: RoutingSettings = attrs.field(factory=RoutingSettings)
    organisations: OrganisationSettings = attrs.field(
        factory=OrganisationSettings
    )
    rollouts: RolloutSettings = attrs.field(factory=RolloutSettings)
    resources: ResourceSettings = attrs.field(factory=ResourceSettings)
    placement: PlacementSettings = attrs.field(factory=PlacementSettings)

    @property
    def translations(self) -> dict[Address, Address]:
        """Parsed address translations, from announced to reachable."""
        return {
            parse_address(announced): parse_address(reached)
            for announced, reached in self.address_translations.items()
        }


def read_node_settings(path: Path) -> NodeSettings:
    """Read a node's settings from a JSON file over DEFAULT_CONFIG.

    Raise SettingsError with the field, its value and the remedy.
    """
    return configure_node_settings(read_values(path))


def configure_node_settings(values: dict) -> NodeSettings:
    """Return validated settings from plain values over DEFAULT_CONFIG.

    Raise SettingsError.
    """
    settings = configure_settings({**DEFAULT_CONFIG, **values}, NodeSettings)
    _check_ports_differ(settings)
    _check_translations(settings)
    return settings


def _check_ports_differ(settings: NodeSettings) -> None:
    seen: dict[int, str] = {}
    for field in PORT_FIELDS:
        port = getattr(settings, field)
        if port and port in seen:
            raise SettingsError(
                field,
                f"{port} is also the port of {seen[port]}",
                "set a different port for each listener",
            )
        seen[port] = field


def _check_translations(settings: NodeSettings) -> None:
    try:
        _ = settings.translations
    except ValueError as exc:
        problem, _, remedy = str(exc).partition("|")
        raise SettingsError("address_translations", problem, remedy) from exc
