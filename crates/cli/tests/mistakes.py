"""Makes each mistake once and prints its title and the error that it raised."""

from collections.abc import Callable

from oleanderstage import Configuration, Mistake, Objective, Resources, Service


def small_resources() -> Resources:
    return Resources(processors=1, memory_gib=1)


def service(config: Configuration, name: str = "bulletin", **changes: object) -> Service:
    values: dict[str, object] = {
        "deadline_ms": 2_000,
        "idempotent": True,
        "objective": Objective(latency_ms=400, share=0.999),
        "reserve": small_resources(),
    }
    return config.service(name, **{**values, **changes})  # type: ignore[arg-type]


def vm(config: Configuration, name: str = "w-1", **changes: object) -> None:
    values: dict[str, object] = {
        "address": "10.0.0.1:7000",
        "rack": "r-1",
        "resources": Resources(processors=16, memory_gib=64),
        "services": [],
        "zone": "kigali-1",
    }
    config.vm(name, **{**values, **changes})  # type: ignore[arg-type]


def twice(declare: Callable[[Configuration], object]) -> Callable[[Configuration], object]:
    return lambda config: (declare(config), declare(config))


def oversized(config: Configuration) -> str:
    for index in range(6_000):
        vm(config, f"w-{index}", address=f"10.0.{index // 250}.{index % 250 + 1}:7000")
    return str(config)


MISTAKES: dict[str, Callable[[Configuration], object]] = {
    "a name with capitals": lambda c: service(c, "Bulletin"),
    "an empty name": lambda c: c.team("", quota=small_resources()),
    "a deadline of 0": lambda c: service(c, deadline_ms=0),
    "a deadline in seconds": lambda c: service(c, deadline_ms=2.5),
    "a negative concurrency": lambda c: service(c, caller_concurrency=-1),
    "an objective after the deadline": lambda c: service(c, deadline_ms=300),
    "a share of 1": lambda _: Objective(latency_ms=400, share=1.0),
    "negative memory": lambda _: Resources(processors=1, memory_gib=-1),
    "half an accelerator": lambda _: Resources(processors=1, memory_gib=1, accelerators=0.5),  # type: ignore[arg-type]
    "a quota of nothing": lambda c: c.team("news", quota=Resources(processors=0, memory_gib=1)),
    "two services of one name": twice(service),
    "two classes of one name": twice(lambda c: c.batch_class("edition", checkpoints=True)),
    "two VMs of one address": lambda c: (vm(c), vm(c, "w-2")),
    "an address without a port": lambda c: vm(c, address="10.0.0.1"),
    "a VM of 0 processors": lambda c: vm(c, resources=Resources(processors=0, memory_gib=1)),
    "a service larger than its VM": lambda c: vm(
        c, services=[service(c, reserve=Resources(processors=40, memory_gib=1))]
    ),
    "a service of another configuration": lambda c: vm(c, services=[service(Configuration())]),
    "a service that no VM hosts": lambda c: (service(c), vm(c), str(c)),
    "a configuration above the value limit": oversized,
}

for title, declare in MISTAKES.items():
    try:
        declare(Configuration())
    except Mistake as mistake:
        print(f"{title}: {mistake}")
    else:
        raise SystemExit(f"{title}: nothing was raised")
