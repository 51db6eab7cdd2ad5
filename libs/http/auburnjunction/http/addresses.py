"""Addresses of listeners."""

import attrs


@attrs.frozen
class Address:
    """Host and TCP port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse host:port; raise ValueError if the text is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not an address|write HOST:PORT")
    return Address(host, int(port))
