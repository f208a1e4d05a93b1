"""The error of a wrong declaration."""


class Mistake(ValueError):
    """A declaration is wrong. The message names the value and the remedy."""
