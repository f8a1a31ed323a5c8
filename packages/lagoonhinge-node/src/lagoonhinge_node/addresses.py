"""Listener addresses and errors of settings."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Host and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class SettingError:
    """An invalid setting.

    Attributes:
        flag: The flag, with its environment variable.
        value: The invalid value; empty for secrets.
        reason: What is wrong with it.
    """

    flag: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.flag}: {self.value!r} {self.reason}"


def parse_address(raw: str) -> Address:
    """Parse `host:port`.

    Raises:
        ValueError: If the host is missing or the port is not between 1 and 65535.
    """
    host, _, port = raw.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) < 65536:
        raise ValueError("is not HOST:PORT")
    return Address(host, int(port))
