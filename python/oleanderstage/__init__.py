"""Declares the services, teams, batch classes and VMs of oleanderstage, and prints them as the
configuration to submit.

    from oleanderstage import Configuration, Objective, Resources

    config = Configuration()
    bulletin = config.service(
        "bulletin",
        deadline_ms=2_000,
        idempotent=True,
        objective=Objective(latency_ms=400, share=0.999),
        reserve=Resources(processors=4, memory_gib=8),
    )
    config.vm(
        "worker-1",
        address="10.0.1.1:7000",
        rack="rack-1",
        resources=Resources(processors=16, memory_gib=64),
        services=[bulletin],
        zone="kigali-1",
    )
    print(config)

A wrong value raises `Mistake` at the call that declares it.
"""

from oleanderstage.batch_class import BatchClass
from oleanderstage.configuration import Configuration
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources
from oleanderstage.service import Objective, Service
from oleanderstage.team import Team
from oleanderstage.vm import Vm

__all__ = [
    "BatchClass",
    "Configuration",
    "Mistake",
    "Objective",
    "Resources",
    "Service",
    "Team",
    "Vm",
]
