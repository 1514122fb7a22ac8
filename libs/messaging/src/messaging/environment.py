"""What a node needs of its surroundings: clocks, randomness, a way to send, and a log.

A process provides it with `messaging.node_runner.ProcessEnvironment`; the simulator and the model
checker have environments of their own.
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
        """Return the monotonic clock."""
        ...

    def wall(self) -> int:
        """Return the time of day since the Unix epoch, which may jump."""
        ...

    def token(self) -> str:
        """Return a short random text that is unique in practice."""
        ...

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Send a message, without any promise of delivery.

        `request_id` numbers a request; `in_reply_to` is the number of the request that the message
        answers. Each is 0 where it does not apply.
        """
        ...

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Write a log line."""
        ...
