"""Kinds of batch work."""

from dataclasses import dataclass

from oleanderstage import checks


@dataclass(frozen=True, kw_only=True)
class BatchClass:
    """A kind of batch work whose tasks disturb services alike.

    Attributes:
        name: The class.
        checkpoints: Whether its tasks write checkpoints, so that an evicted task resumes.

    Raises:
        Mistake: The name is none.
    """

    name: str
    checkpoints: bool

    def __post_init__(self) -> None:
        checks.name(self.name)

    def plain(self) -> dict[str, object]:
        """Returns the class as the configuration has it."""
        return {"name": self.name, "checkpoints": self.checkpoints}
