"""Data plane: the data plane's nodes and processes.

Edges serve clients and workers; stores keep the replicated log.
"""

from runtime.lazy_exports import lazy_exports

__all__ = ["EdgeNode", "StoreNode"]

__getattr__ = lazy_exports(
    __name__,
    {
        "nodes": ("EdgeNode", "StoreNode"),
    },
)
