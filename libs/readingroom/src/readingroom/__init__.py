"""Readingroom: the data plane. Edges serve visitors and workers; stores keep the log."""

from colophon.lazy import lazy

__all__ = ["EdgeNode", "StoreNode"]

__getattr__ = lazy(
    __name__,
    {
        "nodes": ("EdgeNode", "StoreNode"),
    },
)
