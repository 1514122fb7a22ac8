"""All deliberate breaks.

A break has a name, the file under libs, the code that stands there, its replacement, and the test
that has to fail. docs/proof.md says which rule each belongs to.
"""

from testbed.mutations import control, log, serving

__all__ = ["BREAKS"]

BREAKS: dict[str, tuple[str, str, str, str]] = {**control.BREAKS, **log.BREAKS, **serving.BREAKS}
