"""VMs, which services and batch work share."""

import ipaddress
from dataclasses import dataclass

from oleanderstage import checks
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources
from oleanderstage.service import Service


@dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM with a worker, which runs batch tasks, and endpoints of services.

    Attributes:
        name: Name of the VM in the VM list.
        address: Address at which its worker and its endpoints listen, as `IP:PORT`.
        rack: Rack that it is in.
        resources: Resources that it has in total.
        services: Services that it hosts.
        zone: Availability zone that it is in.
        slots: Requests that it runs concurrently.
        connections: Connections that it accepts.

    Raises:
        Mistake: A value is out of range, or the VM is too small for its services.
    """

    name: str
    address: str
    rack: str
    resources: Resources
    services: tuple[Service, ...]
    zone: str
    slots: int = 8
    connections: int = 64

    def __post_init__(self) -> None:
        checks.name(self.name)
        checks.name(self.rack)
        checks.name(self.zone)
        checks.count("slots", self.slots)
        checks.count("connections", self.connections)
        _check_address(self.address)
        self._check_capacity()

    def _check_capacity(self) -> None:
        if self.resources.processors == 0 or self.resources.memory_gib == 0:
            raise Mistake(f"`{self.name}` has no processors or no memory: give it both above 0")
        reserved = Resources(processors=0, memory_gib=0)
        for service in self.services:
            reserved += service.reserve
        if not reserved.fits(self.resources):
            raise Mistake(
                f"`{self.name}` is too small for its services: they reserve {reserved}, "
                f"it has {self.resources}; host fewer, or lower their `reserve`"
            )

    def plain(self) -> dict[str, object]:
        """Returns the VM as a JSON object of the configuration."""
        return {
            "name": self.name,
            "address": self.address,
            "rack": self.rack,
            "resources": self.resources.plain(),
            "services": [service.name for service in self.services],
            "zone": self.zone,
            "slots": self.slots,
            "connections": self.connections,
        }


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise Mistake(
            f"`{address}` is not an address with a port: write `IP:PORT`, "
            "such as `10.0.0.7:8080`"
        )
