"""Umuyoboro Amakuru Labs: bulletins for community radio, from 50 workers in four zones of Kigali."""

from oleanderstage import Configuration, Objective, Resources

WORKERS = 50
WORKERS_PER_RACK = 6
ZONES = ["kigali-1", "kigali-2", "kigali-3", "kigali-4"]

config = Configuration()

bulletin = config.service(
    "bulletin",
    deadline_ms=2_000,
    idempotent=True,
    objective=Objective(latency_ms=400, share=0.999),
    reserve=Resources(processors=6, memory_gib=16),
    body_limit_bytes=32 << 20,
)

# Regional editions and their translations.
config.batch_class("edition", checkpoints=True)
# Live transcription feeds, which run on.
config.batch_class("transcription", checkpoints=True)

config.team("editions", quota=Resources(processors=300, memory_gib=1_200))
config.team("newsrooms", quota=Resources(processors=150, memory_gib=600))

for index in range(WORKERS):
    zone = index % len(ZONES)
    seat = index // len(ZONES)
    config.vm(
        f"worker-{index + 1}",
        address=f"10.1.{zone + 1}.{seat + 1}:7000",
        rack=f"{ZONES[zone]}-rack-{seat // WORKERS_PER_RACK + 1}",
        resources=Resources(processors=16, memory_gib=64),
        services=[bulletin],
        zone=ZONES[zone],
    )

print(config)
