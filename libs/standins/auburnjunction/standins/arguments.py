"""Command-line arguments that the stand-ins share."""

import cappa

from auburnjunction.base.programs import parse_number, parse_port_or_any
from auburnjunction.http.clients import Address, parse_address


def make_port_option(text: str) -> cappa.Arg:
    """Return the option for a TCP port; 0 picks a free port."""
    return cappa.Arg(
        long=True, parse=parse_port_or_any, help=f"{text}; 0 picks a free port"
    )


def make_number_option(
    low: float, high: float, kind: type, text: str
) -> cappa.Arg:
    """Return the option for a number from low to high."""
    return cappa.Arg(long=True, parse=parse_number(low, high, kind), help=text)


def make_address_option(text: str) -> cappa.Arg:
    """Return the option for an address HOST:PORT."""
    return cappa.Arg(long=True, parse=_parse_address, help=text)


def _parse_address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as exc:
        raise ValueError(str(exc).replace("|", "; ")) from None
