"""Links between data centres: forwarders that inject network faults."""

from pathlib import Path

import attrs
import orjson

from auburnjunction.standins.hosts import HostPlan
from auburnjunction.standins.processes import (
    HOST,
    ManagedProcess,
    fetch,
    find_port,
)


@attrs.frozen
class Link:
    """Forwarder from one data centre to one listener outside it."""

    data_centre: str
    # Data centre of the listener; empty for the platform.
    target_data_centre: str
    target_port: int
    port: int
    control_port: int
    process: ManagedProcess

    def set_faults(self, **faults) -> None:
        """Replace the faults of the forwarder."""
        fetch(self.control_port, "/faults", "POST", orjson.dumps(faults))


def make_link(
    data_centre: str,
    target_data_centre: str,
    target_port: int,
    directory: Path,
) -> Link:
    """Return a link whose forwarder has not been started."""
    port, control_port = find_port(), find_port()
    name = f"link-{data_centre}-{target_port}"
    arguments = ["auburn-standin-forwarder", "--listen", str(port)]
    arguments += ["--to", f"{HOST}:{target_port}"]
    arguments += ["--control", str(control_port)]
    process = ManagedProcess(name, arguments, directory / f"{name}.log")
    return Link(
        data_centre,
        target_data_centre,
        target_port,
        port,
        control_port,
        process,
    )


def make_links(
    data_centres: tuple[str, ...],
    hosts: list[HostPlan],
    platform_port: int,
    directory: Path,
) -> list[Link]:
    """Return links from each data centre to the platform and remote nodes."""
    links = []
    for data_centre in data_centres:
        links.append(make_link(data_centre, "", platform_port, directory))
        links += [
            make_link(data_centre, host.data_centre, host.peer_port, directory)
            for host in hosts
            if host.data_centre != data_centre
        ]
    return links


class LinkMap:
    """All links of a deployment and the node settings that route over them."""

    def __init__(self, links: list[Link], platform_port: int):
        self.links = links
        self._platform_port = platform_port

    def find_platform_port(self, data_centre: str) -> int:
        """Return the port at which a data centre reaches the platform."""
        for link in self.links:
            if link.data_centre == data_centre and not link.target_data_centre:
                return link.port
        return self._platform_port

    def make_translations(self, data_centre: str) -> dict[str, str]:
        """Return the address_translations setting of a data centre's nodes.

        It maps peer addresses in other data centres to link addresses.
        """
        return {
            f"{HOST}:{link.target_port}": f"{HOST}:{link.port}"
            for link in self.links
            if link.data_centre == data_centre and link.target_data_centre
        }

    def isolate(self, data_centre: str, cut: str = "both") -> None:
        """Partition a data centre from the others and the platform."""
        self._set_cut(data_centre, cut)

    def rejoin(self, data_centre: str) -> None:
        """Heal the partition of a data centre."""
        self._set_cut(data_centre, "none")

    def _set_cut(self, data_centre: str, cut: str) -> None:
        for link in self.links:
            if data_centre in (link.data_centre, link.target_data_centre):
                link.set_faults(cut=cut)
