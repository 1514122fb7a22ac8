"""Test tools: fleets of real processes, fault injection, measurements, model checks, mutations.

Stand-in clients and workers replace the real ones, which a test machine lacks. Recorded histories
are judged by the oracle of `simulator`.
"""

__all__: tuple[str, ...] = ()
