"""The control key of the log as one store knows it."""

from collections.abc import Callable

from replicated_log.configuration import LOG_KEY, LogConfiguration
from replicated_log.interfaces import FleetView, KeyClient

__all__ = ["ConfigurationKey"]


class ConfigurationKey:
    """The newest configuration that this store has heard of, and its version.

    `changing` says that a change requested here is under way. `on_new_epoch` is called after each
    change of the epoch.
    """

    __slots__ = ("_client", "_fleet", "_on_new_epoch", "changing", "configuration", "version")

    def __init__(
        self, client: KeyClient, fleet: FleetView, on_new_epoch: Callable[[], None]
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._on_new_epoch = on_new_epoch
        self.changing = False
        self.configuration = LogConfiguration.absent()
        self.version = 0

    def refresh(self) -> None:
        """Take over what the fleet's configuration feed has brought."""
        self.update(*self._fleet.log_key())

    def update(self, version: int, body: str) -> None:
        """Take in a version of the key, unless it isn't newer than the one known."""
        if version <= self.version:
            return
        epoch = self.configuration.epoch
        self.version = version
        self.configuration = LogConfiguration.from_json(body)
        if self.configuration.epoch != epoch:
            self._on_new_epoch()

    def change(self, configuration: LogConfiguration, done: Callable[[str], None]) -> None:
        """Change the key by compare-and-set, one change at a time; `done` gets the outcome."""
        self.changing = True

        def changed(outcome: str, version: int, body: str) -> None:
            self.changing = False
            if version:
                self.update(version, body)
                self._fleet.learned(version, body)
            done(outcome)

        self._client.change(LOG_KEY, self.version, configuration.to_json(), changed)
