"""Canonical encoding of a live object graph.

Nodes with equal encodings behave the same from then on. All reachable objects are encoded by value,
including closures with their cells and bound methods with their receivers. Dictionaries and sets
are sorted, so that the order in which votes arrived, for example, does not distinguish two states.
An object that is reached again, by a shared or cyclic reference, is encoded as the number of its
first visit.
"""

from enum import Enum
from functools import partial
from types import CellType, FunctionType, MethodType
from typing import Any

from messaging import Message, encode

__all__ = ["Encoder"]

_PLAIN = (type(None), bool, int, float, str, bytes)


def _slots(kind: type) -> list[str]:
    names: list[str] = []
    for base in kind.__mro__:
        slots = base.__dict__.get("__slots__", ())
        names += [slots] if isinstance(slots, str) else list(slots)
    return sorted(name for name in names if name not in ("__dict__", "__weakref__"))


class Encoder:
    """Encodes one object graph.

    Parameters
    ----------
    opaque_types
        Types whose instances are encoded as the name of the type, such as the environment, whose
        state is encoded separately.
    skipped_slots
        Slots and attributes that are left out, as (type name, attribute name).
    """

    __slots__ = ("_opaque_types", "_seen", "_skipped_slots", "_slot_names")

    _SLOTS: dict[type, list[str]] = {}

    def __init__(
        self, opaque_types: tuple[type, ...], skipped_slots: frozenset[tuple[str, str]]
    ) -> None:
        self._opaque_types = opaque_types
        self._skipped_slots = skipped_slots
        self._seen: dict[int, int] = {}

    def text(self, value: Any) -> str:
        """Return the canonical encoding of a value and of everything reachable from it."""
        if isinstance(value, _PLAIN):
            return repr(value.value) if isinstance(value, Enum) else repr(value)
        if isinstance(value, Message):
            return f"{type(value).__name__}{encode(value)!r}"
        if isinstance(value, tuple):
            return f"({','.join(map(self.text, value))})"
        if isinstance(value, self._opaque_types):
            return f"<{type(value).__name__}>"
        if isinstance(value, type):
            return value.__name__
        if id(value) in self._seen:
            return f"@{self._seen[id(value)]}"
        self._seen[id(value)] = len(self._seen)
        return self._compound(value)

    def _compound(self, value: Any) -> str:
        if isinstance(value, dict):
            rows = sorted(((self._key(key), item) for key, item in value.items()), key=_row_key)
            return "{" + ",".join(f"{key}:{self.text(item)}" for key, item in rows) + "}"
        if isinstance(value, (set, frozenset)):
            return "s{" + ",".join(sorted(map(self._key, value))) + "}"
        if isinstance(value, (list, bytearray)) or hasattr(value, "popleft"):
            return "[" + ",".join(map(self.text, value)) + "]"
        if isinstance(value, FunctionType):
            return self._function(value)
        if isinstance(value, MethodType):
            return f"{value.__func__.__qualname__}.{self.text(value.__self__)}"
        if isinstance(value, partial):
            return f"partial({self.text(value.func)},{self.text(value.args)})"
        if isinstance(value, CellType):
            return self._cell(value)
        return self._object(value)

    def _key(self, key: Any) -> str:
        return repr(key) if isinstance(key, _PLAIN) else self.text(key)

    def _function(self, value: FunctionType) -> str:
        cells = ",".join(self._cell(cell) for cell in value.__closure__ or ())
        defaults = ",".join(map(self.text, value.__defaults__ or ()))
        location = f"{value.__code__.co_qualname}:{value.__code__.co_firstlineno}"
        return f"{location}({cells};{defaults})"

    def _cell(self, cell: CellType) -> str:
        try:
            return self.text(cell.cell_contents)
        except ValueError:
            return "<empty>"

    def _object(self, value: Any) -> str:
        kind = type(value)
        names = self._SLOTS.get(kind)
        if names is None:
            names = self._SLOTS[kind] = _slots(kind)
        rows = [
            f"{name}={self.text(getattr(value, name))}"
            for name in names
            if (kind.__name__, name) not in self._skipped_slots and hasattr(value, name)
        ]
        rows += [
            f"{name}={self.text(item)}"
            for name, item in sorted(getattr(value, "__dict__", {}).items())
            if (kind.__name__, name) not in self._skipped_slots
        ]
        return f"{kind.__name__}({','.join(rows)})"


def _row_key(row: tuple[str, Any]) -> str:
    return row[0]
