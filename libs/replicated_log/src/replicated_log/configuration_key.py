"""A store's copy of the log's control key."""

from collections.abc import Callable

from replicated_log.configuration import LOG_KEY, LogConfiguration
from replicated_log.interfaces import FleetView, KeyClient

__all__ = ["ConfigurationKey"]


class ConfigurationKey:
    """The latest configuration that this store has received, and its version.

    `changing` is true while a change requested by this store is in progress.

    Parameters
    ----------
    client
        Changes the control key.
    fleet
        Provides the versions that arrive by the configuration feed.
    on_new_epoch
        Called after each change of the epoch.
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
        """Apply the latest version received by the configuration feed."""
        self.update(*self._fleet.log_key())

    def update(self, version: int, body: str) -> None:
        """Apply a version of the key if it is newer than the known one."""
        if version <= self.version:
            return
        epoch = self.configuration.epoch
        self.version = version
        self.configuration = LogConfiguration.from_json(body)
        if self.configuration.epoch != epoch:
            self._on_new_epoch()

    def change(self, configuration: LogConfiguration, done: Callable[[str], None]) -> None:
        """Change the key by compare-and-set against the known version.

        `done` is called with the outcome, after the version in force has been applied if it is
        known. `changing` is true until then.
        """
        self.changing = True

        def changed(outcome: str, version: int, body: str) -> None:
            self.changing = False
            if version:
                self.update(version, body)
                self._fleet.record_log_key(version, body)
            done(outcome)

        self._client.change(LOG_KEY, self.version, configuration.to_json(), changed)
