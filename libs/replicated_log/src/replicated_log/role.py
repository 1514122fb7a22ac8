"""What a store does for the log at the moment."""

from enum import StrEnum

__all__ = ["Role"]


class Role(StrEnum):
    """A peer takes records; the others are the steps by which a store becomes the holder."""

    PEER = "peer"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    ADOPTING = "adopting"
    ANNOUNCING = "announcing"
    SERVING = "serving"
