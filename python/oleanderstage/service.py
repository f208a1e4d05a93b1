"""Urgent services."""

from dataclasses import dataclass

from oleanderstage import checks
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources


@dataclass(frozen=True, kw_only=True)
class Objective:
    """What a service promises.

    Attributes:
        latency_ms: The latency that counts as in time, in milliseconds.
        share: Share of requests to be answered in time, above 0 and below 1.

    Raises:
        Mistake: A number is out of range.
    """

    latency_ms: int
    share: float

    def __post_init__(self) -> None:
        checks.count("latency_ms", self.latency_ms, checks.MAX_DURATION_MS)
        if not 0 < self.share < 1:
            raise Mistake(f"`share` is {self.share}: give a share above 0 and below 1")


@dataclass(frozen=True, kw_only=True)
class Service:
    """An urgent service.

    Attributes:
        name: The service.
        deadline_ms: The time to answer that a request has unless it says less, in milliseconds.
        idempotent: Whether a request may run again after an unknown outcome, unless it says
            otherwise.
        objective: What its callers are promised.
        reserve: What each VM that hosts it keeps free for it.
        body_limit_bytes: The largest request body, in bytes.
        caller_concurrency: Requests in progress that one caller may have at one entry.

    Raises:
        Mistake: A number is out of range, or the objective is later than the deadline.
    """

    name: str
    deadline_ms: int
    idempotent: bool
    objective: Objective
    reserve: Resources
    body_limit_bytes: int = 1 << 20
    caller_concurrency: int = 16

    def __post_init__(self) -> None:
        checks.name(self.name)
        checks.count("deadline_ms", self.deadline_ms, checks.MAX_DURATION_MS)
        checks.count("body_limit_bytes", self.body_limit_bytes, 2**63)
        checks.count("caller_concurrency", self.caller_concurrency)
        if self.objective.latency_ms > self.deadline_ms:
            raise Mistake(
                f"the objective of `{self.name}` is later than its deadline: "
                f"lower `latency_ms` to {self.deadline_ms} or less"
            )

    def plain(self) -> dict[str, object]:
        """Returns the service as the configuration has it."""
        return {
            "name": self.name,
            "deadline_ms": self.deadline_ms,
            "idempotent": self.idempotent,
            "objective": {
                "latency_ms": self.objective.latency_ms,
                "share": self.objective.share,
            },
            "reserve": self.reserve.plain(),
            "body_limit_bytes": self.body_limit_bytes,
            "caller_concurrency": self.caller_concurrency,
        }
