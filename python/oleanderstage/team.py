"""Teams that submit batch jobs."""

from dataclasses import dataclass

from oleanderstage import checks
from oleanderstage.mistake import Mistake
from oleanderstage.resources import Resources


@dataclass(frozen=True, kw_only=True)
class Team:
    """A team and its share of batch capacity.

    Attributes:
        name: Name of the team.
        quota: Resources that its running tasks may use in total at any time.

    Raises:
        Mistake: The name is not valid, or the quota has no processors or no memory.
    """

    name: str
    quota: Resources

    def __post_init__(self) -> None:
        checks.name(self.name)
        if self.quota.processors == 0 or self.quota.memory_gib == 0:
            raise Mistake(
                f"the quota of `{self.name}` lets nothing run: "
                "give it processors and memory above 0"
            )

    def plain(self) -> dict[str, object]:
        """Returns the team as a JSON object of the configuration."""
        return {"name": self.name, "quota": self.quota.plain()}
