"""The value of the control key `retired`: the machines that operators take out of service."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ["RetiredMachines"]


class RetiredMachines:
    """Retired machines by their identities, and for stores that were named, by node name.

    A name stays retired when a machine comes back under it with an empty disk, hence with another
    identity. `names` maps node names to the identity that was last seen under each.
    """

    __slots__ = ("identities", "names")

    def __init__(self, identities: Iterable[str], names: Mapping[str, str]) -> None:
        self.identities = frozenset(identities)
        self.names = dict(names)

    @classmethod
    def from_value(cls, value: dict[str, Any] | None) -> "RetiredMachines":
        """Return the machines of the key's JSON value; `None` stands for a key without a value."""
        value = value or {}
        return cls(value.get("identities", ()), value.get("names", {}))

    @classmethod
    def from_body(cls, body: str) -> "RetiredMachines":
        """Return the machines of the key's body; an empty body stands for none."""
        return cls.from_value(json.loads(body) if body else None)

    def body(self) -> str:
        """Return the key's body as JSON text."""
        return json.dumps(
            {"identities": sorted(self.identities), "names": self.names}, sort_keys=True
        )

    def with_names(self, names: Mapping[str, str]) -> "RetiredMachines":
        """Return these machines and those with the given names, by identity and by name."""
        return RetiredMachines({*self.identities, *names.values()}, {**self.names, **names})

    def with_identity(self, identity: str) -> "RetiredMachines":
        """Return these machines and the one with the identity."""
        return self._with_identities(self.identities | {identity})

    def without_identity(self, identity: str) -> "RetiredMachines":
        """Return these machines without the one with the identity, and without its names."""
        return self._with_identities(self.identities - {identity})

    def _with_identities(self, identities: frozenset[str]) -> "RetiredMachines":
        names = {name: found for name, found in self.names.items() if found in identities}
        return RetiredMachines(identities, names)
