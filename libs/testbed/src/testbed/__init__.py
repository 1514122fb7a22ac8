"""Test tools: stand-ins, a simulator with fault injection, an oracle, and fleets of real processes.

Stand-ins replace the clients and machines that can't be had here; the oracle judges recorded
histories.
"""

__all__: tuple[str, ...] = ()
