"""All mutations, which docs/proof.md calls breaks and assigns to rules.

A mutation has a name, the file under `libs`, the original code, its replacement, and the arguments
of pytest that select the test that has to fail.
"""

from testbed.mutations import control, log, serving

__all__ = ["MUTATIONS"]

MUTATIONS: dict[str, tuple[str, str, str, str]] = {
    **control.MUTATIONS,
    **log.MUTATIONS,
    **serving.MUTATIONS,
}
