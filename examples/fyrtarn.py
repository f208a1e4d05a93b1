"""Fyrtårn Webhus: sites of franchise web shops, from 65 workers in four zones of eastern Denmark."""

from oleanderstage import Configuration, Objective, Resources

WORKERS = 65
WORKERS_PER_RACK = 8
ZONES = ["koge", "naestved", "ringsted", "roskilde"]

config = Configuration()

# A publish bills build time, so that it never runs twice.
publish = config.service(
    "publish",
    deadline_ms=20_000,
    idempotent=False,
    objective=Objective(latency_ms=5_000, share=0.995),
    reserve=Resources(processors=16, memory_gib=64),
    body_limit_bytes=256 << 20,
    caller_concurrency=4,
)

# Full rebuilds of a portfolio, which can wait a little.
config.batch_class("rebuild", checkpoints=True)
# Link checkers, which run all day.
config.batch_class("link-check", checkpoints=False)

config.team("portfolio", quota=Resources(processors=2_000, memory_gib=8_000))
config.team("quality", quota=Resources(processors=600, memory_gib=1_200))

for index in range(WORKERS):
    zone = index % len(ZONES)
    seat = index // len(ZONES)
    config.vm(
        f"worker-{index + 1}",
        address=f"10.2.{zone + 1}.{seat + 1}:7000",
        rack=f"{ZONES[zone]}-rack-{seat // WORKERS_PER_RACK + 1}",
        resources=Resources(processors=64, memory_gib=250),
        services=[publish],
        zone=ZONES[zone],
    )

print(config)
