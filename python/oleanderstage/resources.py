"""Amounts of processors, memory and accelerators."""

from dataclasses import dataclass

from oleanderstage.mistake import Mistake


@dataclass(frozen=True, kw_only=True)
class Resources:
    """An amount of each resource.

    Attributes:
        processors: Processor cores, at least 0; rounded to a thousandth of a core.
        memory_gib: Memory in GiB, at least 0; rounded to a MiB.
        accelerators: Number of whole accelerators, at least 0.

    Raises:
        Mistake: An amount is not a number from 0 to below 2**32, or `accelerators` is not whole.
    """

    processors: float
    memory_gib: float
    accelerators: int = 0

    def __post_init__(self) -> None:
        for key in ("processors", "memory_gib", "accelerators"):
            value = getattr(self, key)
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise Mistake(f"`{key}` is {value!r}: give a number")
            if not 0 <= value < 2**32:
                raise Mistake(f"`{key}` is {value}: give a number of at least 0")
        if self.accelerators != int(self.accelerators):
            raise Mistake(f"`accelerators` is {self.accelerators}: give a whole number")

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            processors=self.processors + other.processors,
            memory_gib=self.memory_gib + other.memory_gib,
            accelerators=self.accelerators + other.accelerators,
        )

    def __str__(self) -> str:
        return (
            f"{self.processors:g} processors, {self.memory_gib:g} GiB, "
            f"{self.accelerators} accelerators"
        )

    def fits(self, room: "Resources") -> bool:
        """Returns whether no resource of this amount exceeds that of `room`."""
        return (
            self.processors <= room.processors
            and self.memory_gib <= room.memory_gib
            and self.accelerators <= room.accelerators
        )

    def plain(self) -> dict[str, object]:
        """Returns the amount as a JSON object of the configuration."""
        return {
            "processors_milli": round(self.processors * 1_000),
            "memory_mib": round(self.memory_gib * 1_024),
            "accelerators": int(self.accelerators),
        }
