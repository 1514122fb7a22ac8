"""All deliberate breaks: a name, the file under libs, the code that stands there, what is put in its
place, and the test that has to fail. docs/proof.md says which rule of the brief each belongs to.
"""

from facsimile.breaks import control, log, serving

__all__ = ["BREAKS"]

BREAKS: dict[str, tuple[str, str, str, str]] = {**control.BREAKS, **log.BREAKS, **serving.BREAKS}
