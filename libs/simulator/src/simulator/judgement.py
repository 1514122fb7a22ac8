"""What a rule of the oracle gives."""

from typing import NamedTuple

__all__ = ["SLACK_MS", "Judgement"]

SLACK_MS = 250.0
"""What a time limit may be exceeded by, for the interval of samples and heartbeats."""


class Judgement(NamedTuple):
    """How many rows a rule judged, and its breaches, one line of text each."""

    judged: int
    breaches: list[str]
