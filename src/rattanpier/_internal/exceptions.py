"""Exceptions that subsystems raise, each with a stable error code."""

from __future__ import annotations


class RattanpierError(Exception):
    """An error with a stable code.

    Attributes:
      code: Stable name of the error, printed and sent to callers.
      message: One sentence that describes the error.
      hint: One sentence that describes a correct value, or an empty string.
    """

    code = "internal"

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint


class SettingsError(RattanpierError):
    """A settings file cannot be used."""

    code = "bad_settings"


class ConfigurationError(RattanpierError):
    """A configuration cannot be used."""

    code = "bad_configuration"


class UnreadableError(RattanpierError, ValueError):
    """Data from another process or writer cannot be decoded."""

    code = "unreadable"


class StoreUnavailableError(RattanpierError):
    """The table service or the object store did not answer a read."""

    code = "store_unavailable"


class HistoryGoneError(RattanpierError):
    """The store no longer has the requested changes."""

    code = "history_gone"


class PeerUnavailableError(RattanpierError):
    """Another process of the system did not answer."""

    code = "peer_unavailable"


class PeerRefusedError(PeerUnavailableError):
    """The peer's VM refused the connection: no process is listening."""

    code = "peer_refused"


class PlatformUnavailableError(RattanpierError):
    """A service of the platform other than the store did not answer."""

    code = "platform_unavailable"


class KernelError(RattanpierError):
    """A kernel service is missing or was added twice."""

    code = "kernel"


class CommandError(RattanpierError):
    """An operator's command cannot be carried out."""

    code = "command"
