"""The value of the control key `retired`: the machines that operators took out of service."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ["RetiredMachines"]


class RetiredMachines:
    """The retired machines: identities, and the node names of stores that were retired by name.

    A name remains retired if a machine returns under it with an empty disk, and so with another
    identity. `names` maps each retired node name to the newest identity retired under it.
    """

    __slots__ = ("identities", "names")

    def __init__(self, identities: Iterable[str], names: Mapping[str, str]) -> None:
        self.identities = frozenset(identities)
        self.names = dict(names)

    @classmethod
    def from_value(cls, value: dict[str, Any] | None) -> "RetiredMachines":
        """Return the machines listed in the key's JSON value; None means that it has no value."""
        value = value or {}
        return cls(value.get("identities", ()), value.get("names", {}))

    @classmethod
    def from_body(cls, body: str) -> "RetiredMachines":
        """Return the machines listed in the key's body; an empty body lists none."""
        return cls.from_value(json.loads(body) if body else None)

    def body(self) -> str:
        """Return the JSON text to store as the key's body."""
        return json.dumps(
            {"identities": sorted(self.identities), "names": self.names}, sort_keys=True
        )

    def with_names(self, names: Mapping[str, str]) -> "RetiredMachines":
        """Return a copy with machines added; `names` maps their node names to identities."""
        return RetiredMachines({*self.identities, *names.values()}, {**self.names, **names})

    def with_identity(self, identity: str) -> "RetiredMachines":
        """Return a copy with this identity added."""
        return self._with_identities(self.identities | {identity})

    def without_identity(self, identity: str) -> "RetiredMachines":
        """Return a copy without this identity and without the names that map to it."""
        return self._with_identities(self.identities - {identity})

    def _with_identities(self, identities: frozenset[str]) -> "RetiredMachines":
        names = {name: found for name, found in self.names.items() if found in identities}
        return RetiredMachines(identities, names)
