"""Settings of the node, from flags and environment variables, checked all at once."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg, Env, command
from returns.result import Failure, Result, Success

from lagoonhinge_node.addresses import Address, SettingError, parse_address

ENV_PREFIX = "LAGOONHINGE_"


@dataclass(frozen=True)
class NodeSettings:
    """Checked settings of one node."""

    listen: Address
    control_listen: Address
    site: str
    zone: str
    vm: str
    platform_url: str
    peers: tuple[Address, ...]
    operator_token: str = field(repr=False)
    peer_secret: str = field(repr=False)
    balancer_lag_s: float
    config_poll_s: float
    gossip_interval_s: float
    log_json: bool
    log_level: str
    tls_cert: Path | None
    tls_key: Path | None
    tls_ca: Path | None


def _arg(flag: str, default: str, help_text: str) -> Any:
    variable = ENV_PREFIX + flag.upper().replace("-", "_")
    return Arg(
        long=f"--{flag}",
        default=Env(variable, default=default),
        help=f"{help_text} [{variable}]",
    )


class _SettingsParser:
    """Converts raw settings and collects the errors."""

    def __init__(self) -> None:
        self.errors: list[SettingError] = []

    def parse(self, flag: str, raw: str, parse_value: Callable[[str], Any]) -> Any:
        try:
            return parse_value(raw)
        except ValueError as error:
            variable = ENV_PREFIX + flag.upper().replace("-", "_")
            shown_value = "" if flag in SECRET_FLAGS else raw
            self.errors.append(
                SettingError(f"--{flag} ({variable})", shown_value, str(error))
            )
            return None


SECRET_FLAGS = ("operator-token", "peer-secret")
LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_SECRET_CHARACTERS = 16


def _parse_addresses(raw: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in raw.split(",") if part.strip())


def _parse_name(raw: str) -> str:
    if not raw or not all(c.isascii() and (c.isalnum() or c in "-_.") for c in raw):
        raise ValueError("is not a name of letters, digits, '-', '_' and '.'")
    return raw


def _parse_url(raw: str) -> str:
    if not raw.startswith(("http://", "https://")):
        raise ValueError("is not a URL starting with http:// or https://")
    return raw.rstrip("/")


def _parse_secret(raw: str) -> str:
    if len(raw) < MIN_SECRET_CHARACTERS:
        raise ValueError(f"must have at least {MIN_SECRET_CHARACTERS} characters")
    return raw


def _parse_seconds(raw: str) -> float:
    try:
        value = float(raw)
    except ValueError:
        raise ValueError("is not a number of seconds") from None
    if not 0 <= value < float("inf"):
        raise ValueError("must not be negative")
    return value


def _parse_interval(raw: str) -> float:
    value = _parse_seconds(raw)
    if value == 0:
        raise ValueError("must be greater than 0")
    return value


def _parse_bool(raw: str) -> bool:
    if raw.lower() in ("1", "true", "yes"):
        return True
    if raw.lower() in ("0", "false", "no"):
        return False
    raise ValueError("is not true or false")


def _parse_level(raw: str) -> str:
    if raw not in LOG_LEVELS:
        raise ValueError(f"is not one of {', '.join(LOG_LEVELS)}")
    return raw


def _parse_file(raw: str) -> Path | None:
    if not raw:
        return None
    path = Path(raw)
    if not path.is_file():
        raise ValueError("is not a file")
    return path


@command(name="lagoonhinge")
@dataclass
class RawSettings:
    """Serve callers on one entry VM and route their requests to upstreams."""

    listen: Annotated[str, _arg("listen", "127.0.0.1:8100", "Address for callers.")]
    control_listen: Annotated[
        str,
        _arg("control-listen", "127.0.0.1:8101", "Address for operators and peers."),
    ]
    site: Annotated[str, _arg("site", "", "Site whose overlay applies.")]
    zone: Annotated[str, _arg("zone", "", "Availability zone of this VM.")]
    vm: Annotated[str, _arg("vm", "", "Name of this VM.")]
    platform_url: Annotated[
        str, _arg("platform-url", "", "Root of the platform's services.")
    ]
    peer: Annotated[
        str, _arg("peer", "", "Control addresses of other nodes, comma-separated.")
    ]
    operator_token: Annotated[
        str, _arg("operator-token", "", "Secret of operators; prefer the variable.")
    ]
    peer_secret: Annotated[
        str, _arg("peer-secret", "", "Secret shared by the nodes; prefer the variable.")
    ]
    balancer_lag_s: Annotated[
        str,
        _arg(
            "balancer-lag-s", "2", "Time until the balancer detects a stop, in seconds."
        ),
    ]
    config_poll_s: Annotated[
        str,
        _arg(
            "config-poll-s",
            "2",
            "Time between reads of the configuration row, in seconds.",
        ),
    ]
    gossip_interval_s: Annotated[
        str,
        _arg("gossip-interval-s", "1", "Time between digests to peers, in seconds."),
    ]
    log_json: Annotated[
        str, _arg("log-json", "false", "One JSON object a line instead of text.")
    ]
    log_level: Annotated[
        str, _arg("log-level", "info", "One of debug, info, warning, error.")
    ]
    tls_cert: Annotated[
        str, _arg("tls-cert", "", "Certificate file for both listeners.")
    ]
    tls_key: Annotated[str, _arg("tls-key", "", "Private key file for both listeners.")]
    tls_ca: Annotated[
        str, _arg("tls-ca", "", "CA certificates that verify peers' certificates.")
    ]

    def check(self) -> Result[NodeSettings, tuple[SettingError, ...]]:
        """Return the checked settings, or every error at once."""
        parser = _SettingsParser()
        parse = parser.parse
        settings = NodeSettings(
            listen=parse("listen", self.listen, parse_address),
            control_listen=parse("control-listen", self.control_listen, parse_address),
            site=parse("site", self.site, _parse_name),
            zone=parse("zone", self.zone, _parse_name),
            vm=parse("vm", self.vm, _parse_name),
            platform_url=parse("platform-url", self.platform_url, _parse_url),
            peers=parse("peer", self.peer, _parse_addresses),
            operator_token=parse("operator-token", self.operator_token, _parse_secret),
            peer_secret=parse("peer-secret", self.peer_secret, _parse_secret),
            balancer_lag_s=parse("balancer-lag-s", self.balancer_lag_s, _parse_seconds),
            config_poll_s=parse("config-poll-s", self.config_poll_s, _parse_interval),
            gossip_interval_s=parse(
                "gossip-interval-s", self.gossip_interval_s, _parse_interval
            ),
            log_json=parse("log-json", self.log_json, _parse_bool),
            log_level=parse("log-level", self.log_level, _parse_level),
            tls_cert=parse("tls-cert", self.tls_cert, _parse_file),
            tls_key=parse("tls-key", self.tls_key, _parse_file),
            tls_ca=parse("tls-ca", self.tls_ca, _parse_file),
        )
        if bool(self.tls_cert) != bool(self.tls_key):
            parser.errors.append(
                SettingError(
                    "--tls-cert", self.tls_cert, "must be set together with --tls-key"
                )
            )
        if parser.errors:
            return Failure(tuple(parser.errors))
        return Success(settings)
