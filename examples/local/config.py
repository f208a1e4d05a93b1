"""The two workers of `standin.jsonc`, shared by a service and a batch class."""

from oleanderstage import Configuration, Objective, Resources

config = Configuration()

bulletin = config.service(
    "bulletin",
    deadline_ms=2_000,
    idempotent=True,
    objective=Objective(latency_ms=400, share=0.999),
    reserve=Resources(processors=6, memory_gib=16),
)
config.batch_class("edition", checkpoints=True)
config.team("editions", quota=Resources(processors=16, memory_gib=64))

for index in [1, 2]:
    config.vm(
        f"worker-{index}",
        address=f"127.0.0.1:700{index}",
        rack="rack-1",
        resources=Resources(processors=16, memory_gib=64),
        services=[bulletin],
        zone="kigali-1",
    )

print(config)
