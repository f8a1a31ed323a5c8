"""Options that several commands share, and the check that they are given."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn, TypeAlias

from cappa import Arg, Env, Exit

from lagoonhinge_ctl.exit_codes import ExitCode

PLATFORM_VARIABLE = "LAGOONHINGE_PLATFORM_URL"
NODES_VARIABLE = "LAGOONHINGE_NODES"
TOKEN_VARIABLE = "LAGOONHINGE_OPERATOR_TOKEN"
CA_VARIABLE = "LAGOONHINGE_TLS_CA"

FolderArg: TypeAlias = Annotated[
    Path, Arg(help="Folder with base.toml and sites/*.toml.")
]
PlatformArg: TypeAlias = Annotated[
    str,
    Arg(
        long="--platform-url",
        default=Env(PLATFORM_VARIABLE, default=""),
        help=f"Root of the platform's services [{PLATFORM_VARIABLE}]",
    ),
]
NodesArg: TypeAlias = Annotated[
    str,
    Arg(
        long="--nodes",
        default=Env(NODES_VARIABLE, default=""),
        help=f"Control addresses, comma-separated [{NODES_VARIABLE}]",
    ),
]
TokenArg: TypeAlias = Annotated[
    str,
    Arg(
        long="--operator-token",
        default=Env(TOKEN_VARIABLE, default=""),
        help=f"Secret of operators [{TOKEN_VARIABLE}]",
    ),
]
CaArg: TypeAlias = Annotated[
    str,
    Arg(
        long="--tls-ca",
        default=Env(CA_VARIABLE, default=""),
        help=f"Authorities of the nodes' certificates; https if given [{CA_VARIABLE}]",
    ),
]
JsonArg: TypeAlias = Annotated[bool, Arg(long="--json", help="Print JSON.")]
WaitArg: TypeAlias = Annotated[
    float, Arg(long="--wait-s", help="Longest wait for the nodes, in seconds.")
]


def stop(code: ExitCode, message: object) -> NoReturn:
    """Print an error on standard error and exit."""
    raise Exit(str(message), code=code)


@dataclass(frozen=True)
class FleetAccess:
    """How the nodes are reached.

    Attributes:
        addresses: Control addresses.
        token: Secret of operators.
        tls_ca: Authorities of their certificates; `None` for plain HTTP.
    """

    addresses: tuple[str, ...]
    token: str
    tls_ca: Path | None

    def state_url(self, address: str) -> str:
        """Return where a node's state dump is."""
        scheme = "http" if self.tls_ca is None else "https"
        return f"{scheme}://{address}/state"


def check_platform(url: str) -> str:
    """Return the platform's URL, or exit if it was not given."""
    if not url.startswith(("http://", "https://")):
        flag = f"--platform-url ({PLATFORM_VARIABLE})"
        stop(ExitCode.USAGE, f"{flag}: {url!r} is not a URL")
    return url.rstrip("/")


def check_access(nodes: str, token: str, tls_ca: str) -> FleetAccess:
    """Return how the nodes are reached, or exit with what is missing."""
    addresses = tuple(part.strip() for part in nodes.split(",") if part.strip())
    missing: list[str] = []
    if not addresses:
        missing.append(f"--nodes ({NODES_VARIABLE}): no node is named")
    if not token:
        missing.append(f"--operator-token ({TOKEN_VARIABLE}): is not set")
    if tls_ca and not Path(tls_ca).is_file():
        missing.append(f"--tls-ca ({CA_VARIABLE}): {tls_ca!r} is not a file")
    if missing:
        stop(ExitCode.USAGE, "\n".join(missing))
    return FleetAccess(addresses, token, Path(tls_ca) if tls_ca else None)
