"""Names of a package that are imported on first access.

Start-up time is part of every recovery, so a process imports only what its role needs.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(package: str, modules: dict[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Return a module-level `__getattr__` for a package.

    `modules` maps each submodule's name to the names that it exports. The returned function raises
    AttributeError for any other name.
    """
    module_of = {name: module for module, names in modules.items() for name in names}

    def find(name: str) -> Any:
        if name in module_of:
            return getattr(import_module(f"{package}.{module_of[name]}"), name)
        if name in modules:
            return import_module(f"{package}.{name}")
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return find
