"""Classes of batch work."""

from dataclasses import dataclass

from oleanderstage import checks


@dataclass(frozen=True, kw_only=True)
class BatchClass:
    """A class of batch work, whose tasks interfere with services in the same way.

    Attributes:
        name: Name of the class.
        checkpoints: Whether its tasks write checkpoints, so that an evicted task resumes.

    Raises:
        Mistake: The name is not valid.
    """

    name: str
    checkpoints: bool

    def __post_init__(self) -> None:
        checks.name(self.name)

    def plain(self) -> dict[str, object]:
        """Returns the class as a JSON object of the configuration."""
        return {"name": self.name, "checkpoints": self.checkpoints}
