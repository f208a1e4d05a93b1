"""The configuration as a whole."""

import json
from collections.abc import Iterable
from typing import Protocol, TypeVar

from oleanderstage.batch_class import BatchClass
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources
from oleanderstage.service import Objective, Service
from oleanderstage.team import Team
from oleanderstage.vm import Vm

MAX_BYTES = 990_000
"""The largest configuration, in bytes of compact JSON."""


class _Declaration(Protocol):
    @property
    def name(self) -> str: ...

    def plain(self) -> dict[str, object]: ...


_T = TypeVar("_T", bound=_Declaration)


class Configuration:
    """All declarations of an operator. `str` returns the JSON to submit."""

    def __init__(self) -> None:
        self._classes: dict[str, BatchClass] = {}
        self._services: dict[str, Service] = {}
        self._teams: dict[str, Team] = {}
        self._vms: dict[str, Vm] = {}

    def __str__(self) -> str:
        """Returns the configuration as JSON.

        Raises:
            Mistake: No VM hosts a service, or the configuration is larger than `MAX_BYTES`.
        """
        hosted = {service.name for vm in self._vms.values() for service in vm.services}
        for name in self._services:
            if self._vms and name not in hosted:
                raise Mistake(f"no VM hosts `{name}`: give it to some `vm` under `services`")
        lists = {
            "classes": self._classes,
            "services": self._services,
            "teams": self._teams,
            "vms": self._vms,
        }
        plain = {key: [item.plain() for item in items.values()] for key, items in lists.items()}
        size = len(json.dumps(plain, separators=(",", ":")).encode())
        if size > MAX_BYTES:
            raise Mistake(
                f"the configuration has {size} bytes, above the limit of {MAX_BYTES}: "
                "split the fleet, or declare fewer VMs and services"
            )
        return json.dumps(plain, indent=2)

    def batch_class(self, name: str, *, checkpoints: bool) -> BatchClass:
        """Declares a batch class; see `BatchClass`."""
        return _add(self._classes, "batch class", BatchClass(name=name, checkpoints=checkpoints))

    def service(
        self,
        name: str,
        *,
        deadline_ms: int,
        idempotent: bool,
        objective: Objective,
        reserve: Resources,
        body_limit_bytes: int = 1 << 20,
        caller_concurrency: int = 16,
    ) -> Service:
        """Declares an urgent service; see `Service`."""
        service = Service(
            name=name,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            objective=objective,
            reserve=reserve,
            body_limit_bytes=body_limit_bytes,
            caller_concurrency=caller_concurrency,
        )
        return _add(self._services, "service", service)

    def team(self, name: str, *, quota: Resources) -> Team:
        """Declares a team; see `Team`."""
        return _add(self._teams, "team", Team(name=name, quota=quota))

    def vm(
        self,
        name: str,
        *,
        address: str,
        rack: str,
        resources: Resources,
        services: Iterable[Service],
        zone: str,
        slots: int = 8,
        connections: int = 64,
    ) -> Vm:
        """Declares a VM; see `Vm`. Its services must be declared before it."""
        hosted = tuple(services)
        for service in hosted:
            if self._services.get(service.name) is not service:
                raise Mistake(f"`{service.name}` is of another configuration: declare it here")
        if len({service.name for service in hosted}) < len(hosted):
            raise Mistake(f"`{name}` hosts a service twice: drop one")
        for other in self._vms.values():
            if other.address == address:
                raise Mistake(f"`{address}` is also the address of `{other.name}`: correct one")
        vm = Vm(
            name=name,
            address=address,
            rack=rack,
            resources=resources,
            services=hosted,
            zone=zone,
            slots=slots,
            connections=connections,
        )
        return _add(self._vms, "VM", vm)


def _add(items: dict[str, _T], kind: str, item: _T) -> _T:
    if item.name in items:
        raise Mistake(f"the {kind} `{item.name}` is declared twice: rename or drop one")
    items[item.name] = item
    return item
