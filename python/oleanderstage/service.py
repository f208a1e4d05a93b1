"""Urgent services and their objectives."""

from dataclasses import dataclass

from oleanderstage import checks
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources


@dataclass(frozen=True, kw_only=True)
class Objective:
    """The latency objective of a service.

    Attributes:
        latency_ms: Longest latency of a request that is answered in time, in milliseconds.
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
        name: Name of the service.
        deadline_ms: Time in which a request has to be answered unless it sets a shorter one, in
            milliseconds.
        idempotent: Whether a request may run again after an unknown outcome, unless the request
            itself sets this.
        objective: Latency objective for its callers.
        reserve: Resources that each VM that hosts it keeps free for it.
        body_limit_bytes: Size of the largest request body, in bytes.
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
        """Returns the service as a JSON object of the configuration."""
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
