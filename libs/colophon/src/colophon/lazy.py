"""Names of a package that are imported when first asked for: a process pays at its start, which is part of
every recovery, only for what its role needs.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["lazy"]


def lazy(package: str, modules: dict[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """A module's `__getattr__`: `modules` has the names that each module of the package gives."""
    places = {name: module for module, names in modules.items() for name in names}

    def find(name: str) -> Any:
        if name in places:
            return getattr(import_module(f"{package}.{places[name]}"), name)
        if name in modules:
            return import_module(f"{package}.{name}")
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return find
