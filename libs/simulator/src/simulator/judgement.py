"""The result of a rule of the oracle."""

from typing import NamedTuple

__all__ = ["SLACK_MS", "Judgement"]

SLACK_MS = 250.0
"""Tolerance of time limits, which allows for the intervals of samples and heartbeats."""


class Judgement(NamedTuple):
    """The number of rows that a rule judged, and the breaches found, one line of text each."""

    judged: int
    breaches: list[str]
