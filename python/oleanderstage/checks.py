"""Checks of values that several declarations have."""

import re

from oleanderstage.mistake import Mistake

MAX_DURATION_MS = 3_600_000
MAX_COUNT = 2**32 - 1

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


def count(key: str, value: int, largest: int = MAX_COUNT) -> int:
    """Returns `value` if it is a whole number from 1 to `largest`, else raises `Mistake`."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise Mistake(f"`{key}` is {value!r}: give a whole number")
    if not 1 <= value <= largest:
        raise Mistake(f"`{key}` is {value}: give a number from 1 to {largest}")
    return value


def name(value: str) -> str:
    """Returns `value` if it is a valid name, else raises `Mistake`."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise Mistake(
            f"`{value}` is not a name: use 1 to 63 lower-case letters, digits and hyphens, "
            "starting with a letter or a digit"
        )
    return value
