"""The `lagoonctl place` command."""

from asyncio import run
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

from cappa import Arg, command
from returns.result import Failure, Success

from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.node_client import NODE_TIMEOUT_S
from lagoonhinge_ctl.options import CaArg, JsonArg, TokenArg, exit_with_error
from lagoonhinge_ctl.reports import print_json, print_table
from lagoonhinge_http.calls import HttpResponse, call
from lagoonhinge_http.session import call_timeout, open_session
from lagoonhinge_http.wire import BadMessage, decode

NOT_FOUND_STATUSES = (HTTPStatus.NOT_FOUND, HTTPStatus.UNAUTHORIZED)


@command(
    name="place",
    epilog="Example: lagoonctl place HOST:PORT models.example /ask/ --account mills "
    "--prompt-tokens 45000",
)
@dataclass
class Place:
    """Print where a node would send a request now, and why, without sending it."""

    node: Annotated[str, Arg(help="Operators' address of the node.")]
    host: Annotated[str, Arg(help="Host of the request.")]
    path: Annotated[str, Arg(help="Path of the request.")]
    operator_token: TokenArg
    tls_ca: CaArg
    account: Annotated[str, Arg(long=True, help="Name of the client account.")] = ""
    prompt_tokens: Annotated[
        int, Arg(long=True, help="Length of the prompt; 0 for a plain request.")
    ] = 0
    answer_tokens: Annotated[int, Arg(long=True, help="Longest answer, in tokens.")] = (
        1000
    )
    time_limit_s: Annotated[
        float, Arg(long=True, help="How long the client waits; 0 for the route's time.")
    ] = 0.0
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        if min(self.prompt_tokens, self.answer_tokens, self.time_limit_s) < 0:
            exit_with_error(ExitCode.USAGE, "tokens and times must not be negative")
        report = run(self._fetch())
        if self.json:
            print_json(report)
        else:
            _print_report(report)
        if report["status"] in NOT_FOUND_STATUSES:
            exit_with_error(ExitCode.NOT_FOUND, report["reason"])

    async def _fetch(self) -> dict[str, Any]:
        fields = {
            "host": self.host,
            "path": self.path,
            "account": self.account,
            "prompt_tokens": self.prompt_tokens,
            "answer_tokens": self.answer_tokens,
            "time_limit_s": self.time_limit_s,
        }
        scheme = "https" if self.tls_ca else "http"
        url = f"{scheme}://{self.node}/place?{urlencode(fields)}"
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        tls_ca = Path(self.tls_ca) if self.tls_ca else None
        async with open_session(tls_ca=tls_ca) as session:
            answer = await call(
                session, "GET", url, call_timeout(NODE_TIMEOUT_S), headers=headers
            )
        match answer:
            case Success(HttpResponse(HTTPStatus.OK, body)):
                try:
                    return decode(body, dict[str, Any])
                except BadMessage as error:
                    exit_with_error(ExitCode.NODE_SILENT, f"{self.node}: {error}")
            case Success(HttpResponse(HTTPStatus.NOT_FOUND)):
                reason = "it previews no placements; its version may be an earlier one"
                exit_with_error(ExitCode.NODE_SILENT, f"{self.node}: {reason}")
            case Success(HttpResponse(HTTPStatus.BAD_REQUEST, body)):
                exit_with_error(ExitCode.USAGE, body.decode(errors="replace"))
            case Success(response):
                reason = f"status {response.status}"
                exit_with_error(ExitCode.NODE_SILENT, f"{self.node}: {reason}")
            case Failure(error):
                reason = f"did not answer: {error!r}"
                exit_with_error(ExitCode.NODE_SILENT, f"{self.node}: {reason}")
        raise AssertionError("not a result")


def _print_report(report: dict[str, Any]) -> None:
    print(f"{report['outcome']}: {_describe(report)}")
    print(
        f"node {report['node']} in {report['zone']}, configuration "
        f"{report['config_version']} confirmed {report['config_age_s']} s ago, list of "
        f"upstreams {report['upstreams_age_s']} s old"
    )
    if not report["candidates"]:
        return
    headers = ("upstream", "zone", "role", "wait s", "requests", "tokens", "age s")
    rows: list[tuple[str, ...]] = [
        (
            entry["upstream"],
            entry["zone"],
            entry["role"],
            str(entry["waiting_s"]),
            f"{entry['requests']}/{entry['slots']}",
            str(entry["tokens"]),
            "unknown" if entry["load_age_s"] is None else str(entry["load_age_s"]),
            ", ".join(entry["states"]),
        )
        for entry in report["candidates"]
    ]
    print_table((*headers, "state"), rows)


def _describe(report: dict[str, Any]) -> str:
    if report["outcome"] != "sent":
        retry_after_s = report["retry_after_s"]
        retry = "" if retry_after_s is None else f", Retry-After {retry_after_s:g} s"
        status = f"{report['status']}, " if report["status"] else ""
        return f"{status}{report['reason']}{retry}"
    text = (
        f"to {report['upstream']} of {report['service']} by route {report['route']}, "
        f"after a wait of {report['waiting_s']} s and a prefill of "
        f"{report['prefill_s']} s"
    )
    if report["helpers"]:
        text += f", with {len(report['helpers'])} helpers"
    if report["reservations"]:
        text += f" that reserve {sum(report['reservations'].values())} tokens"
    return text
