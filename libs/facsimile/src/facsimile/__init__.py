"""Facsimile: stand-ins for the users and machines that can't be had here, a simulator that causes
the failures of the brief under virtual time, an oracle over recorded histories, and a test fleet.
"""

__all__: tuple[str, ...] = ()
