"""Breaks: the system's code broken on purpose, one place at a time, to see that a test fails for it."""

from facsimile.breaks.runner import run_breaks
from facsimile.breaks.table import BREAKS

__all__ = ["BREAKS", "run_breaks"]
