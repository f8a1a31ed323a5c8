"""Options that several commands share, and their validation."""

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
        help=f"Base URL of the platform's services [{PLATFORM_VARIABLE}]",
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
        help=f"Operator token [{TOKEN_VARIABLE}]",
    ),
]
CaArg: TypeAlias = Annotated[
    str,
    Arg(
        long="--tls-ca",
        default=Env(CA_VARIABLE, default=""),
        help=f"CA certificates for the nodes; enables HTTPS [{CA_VARIABLE}]",
    ),
]
JsonArg: TypeAlias = Annotated[bool, Arg(long="--json", help="Print JSON.")]
WaitArg: TypeAlias = Annotated[
    float, Arg(long="--wait-s", help="Maximum wait for the nodes, in seconds.")
]


def exit_with_error(code: ExitCode, message: object) -> NoReturn:
    """Print an error on standard error and exit with `code`."""
    raise Exit(str(message), code=code)


@dataclass(frozen=True)
class FleetAccess:
    """Addresses of the nodes and the credentials for them.

    Attributes:
        addresses: Control addresses.
        token: Operator token.
        tls_ca: File of CA certificates for the nodes; `None` for plain HTTP.
    """

    addresses: tuple[str, ...]
    token: str
    tls_ca: Path | None

    def state_url(self, address: str) -> str:
        """Return the URL of a node's state dump."""
        scheme = "http" if self.tls_ca is None else "https"
        return f"{scheme}://{address}/state"


def check_platform(url: str) -> str:
    """Return the platform's URL, or exit if it is not a URL."""
    if not url.startswith(("http://", "https://")):
        flag = f"--platform-url ({PLATFORM_VARIABLE})"
        exit_with_error(ExitCode.USAGE, f"{flag}: {url!r} is not a URL")
    return url.rstrip("/")


def check_access(nodes: str, token: str, tls_ca: str) -> FleetAccess:
    """Return the access to the nodes, or exit with every error in the options."""
    addresses = tuple(
        address.strip() for address in nodes.split(",") if address.strip()
    )
    errors: list[str] = []
    if not addresses:
        errors.append(f"--nodes ({NODES_VARIABLE}): no node is named")
    if not token:
        errors.append(f"--operator-token ({TOKEN_VARIABLE}): is not set")
    if tls_ca and not Path(tls_ca).is_file():
        errors.append(f"--tls-ca ({CA_VARIABLE}): {tls_ca!r} is not a file")
    if errors:
        exit_with_error(ExitCode.USAGE, "\n".join(errors))
    return FleetAccess(addresses, token, Path(tls_ca) if tls_ca else None)
