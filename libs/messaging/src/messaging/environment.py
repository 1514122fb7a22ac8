"""The interface through which a node gets clocks, randomness, sending and logging.

Processes use `messaging.node_runner.ProcessEnvironment`; the simulator and the model checker have
implementations of their own.
"""

import random
from typing import Any, Protocol

from messaging.message import Message

__all__ = ["Environment"]


class Environment(Protocol):
    """The environment of one node; times are in milliseconds.

    `address` is the node's own address, IP:PORT, and `rng` its source of randomness.
    """

    address: str
    rng: random.Random

    def now(self) -> int:
        """Return the time of a monotonic clock."""
        ...

    def wall(self) -> int:
        """Return the wall-clock time since the Unix epoch, which may step."""
        ...

    def token(self) -> str:
        """Return a short random string, unique with high probability."""
        ...

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Send a message; delivery is not guaranteed.

        Parameters
        ----------
        to
            The address of the receiver, IP:PORT.
        request_id
            The number of the request that the message makes, or 0 if it is no request.
        in_reply_to
            The number of the request that the message answers, or 0 if it is no reply.
        message
            The message.
        """
        ...

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Write one log line for `event`, with `fields` as its further members."""
        ...
