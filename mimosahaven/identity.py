"""Identifiers of daemons and actions, and values derived from calls."""

import dataclasses
import random

import xxhash

from mimosahaven import codes
from mimosahaven import errors

# Difference in priority between adjacent weights. Calls of equal weight are
# ordered within it by a hash of the action id.
WEIGHT_STEP = 65536
# Numbers in an action id; messages carry all numbers with so many digits.
NUMBER_DIGITS_MAX = 18


class BadActionIdError(errors.MimosahavenError):
    """An action id that cannot be parsed."""

    def __init__(self, text: str):
        super().__init__(codes.Code.BAD_ACTION_ID, f"bad action id {text!r}")


@dataclasses.dataclass(frozen=True)
class ActionId:
    """Identity of one caller request, including the daemon that owns it.

    Attributes:
      target: Name of the owner's target.
      incarnation: Incarnation of the owner.
      issued_ms: Time of issue on the owner's monotonic clock.
      sequence: Number of the id within the incarnation.
    """

    target: str
    incarnation: str
    issued_ms: int
    sequence: int

    def __str__(self) -> str:
        return (
            f"{self.target}.{self.incarnation}.{self.issued_ms}.{self.sequence}"
        )


def parse_action_id(text: str) -> ActionId:
    """Parses the text form of an action id.

    Raises:
      BadActionIdError: The text is not an action id.
    """
    parts = text.rsplit(".", 3)
    if len(parts) != 4 or not parts[0] or len(parts[1]) != 16:
        raise BadActionIdError(text)
    for number in parts[2:]:
        if not number.isdecimal() or len(number) > NUMBER_DIGITS_MAX:
            raise BadActionIdError(text)
    return ActionId(parts[0], parts[1], int(parts[2]), int(parts[3]))


def new_incarnation(rng: random.Random) -> str:
    """Returns a random 64-bit incarnation as 16 hex digits."""
    return f"{rng.getrandbits(64):016x}"


class ActionIdIssuer:
    """Issues the action ids of one daemon."""

    def __init__(self, target: str, incarnation: str):
        self._target = target
        self._incarnation = incarnation
        self._sequence = 0

    def issue(self, now_ms: float) -> ActionId:
        """Returns a new action id issued at now_ms on the monotonic clock."""
        self._sequence += 1
        return ActionId(
            self._target, self._incarnation, int(now_ms), self._sequence
        )


def priority(weight: int, action_id: str) -> int:
    """Returns the shedding priority of a call.

    It is equal at every depth of an action's call chain, so that all services
    shed the same actions.

    Args:
      weight: Weight of the row.
      action_id: Text form of the action id.
    """
    return (
        weight * WEIGHT_STEP
        + xxhash.xxh3_64_intdigest(action_id.encode()) % 65536
    )


def fingerprint(
    caller: str, kind: str, method: str, path: str, body: bytes
) -> str:
    """Returns a hash of a call's content, without action and call ids."""
    metadata = "\0".join((caller, kind, method, path)).encode()
    return xxhash.xxh3_128_hexdigest(metadata + b"\0" + body)
