"""Errors of a declaration."""


class Mistake(ValueError):
    """A declaration is wrong; the message names the thing and the mend."""
