"""Timeline of one request, built from the log lines of all nodes."""

from dataclasses import dataclass

from lagoonhinge_ctl.log_files import NO_REQUEST, LogLine

# Events of a request's upstreams and of zones are shown from this long before it.
UPSTREAM_EVENT_WINDOW_S = 10.0
# Components whose last messages, however old, describe the current state of a node.
STATE_PARTS = frozenset(("config", "evacuations", "node", "nodes", "settings"))
MAX_STATE_MESSAGES = 6  # per node
MAX_CLOSINGS = 20  # per node
NO_CAPACITY = "No upstream has capacity; ending the request."
# Events that close upstreams; an answer to another request may have told them.
CLOSING_MESSAGES = frozenset(
    (
        "An upstream says that it leaves.",
        "A peer was told that an upstream leaves.",
        "An upstream wants no requests for a time.",
        "An upstream changed the limit of its requests.",
    )
)
OLDER_COPY = "The store came back from an older copy."
END_MESSAGES = frozenset(
    (
        "Refused.",
        "Refused, not run.",
        "Broke off.",
        "Failed.",
        "Out of time.",
        "Passed on a failure.",
        "The caller left.",
        "Stream done.",
        "Answered.",
    )
)


@dataclass(frozen=True)
class RequestTimeline:
    """Log lines of a request and how it ended.

    Attributes:
        request_id: ID of the request.
        lines: Its own lines, in order of time.
        beliefs: Lines about the state of the nodes that had it, in order of time.
        cause: How and why it ended, in a sentence.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    cause: str


def build_timeline(
    request_id: str, lines: tuple[LogLine, ...]
) -> RequestTimeline | None:
    """Return a request's timeline, or `None` if no line has its ID.

    Args:
        request_id: ID of the request.
        lines: Lines of all nodes, in order of time.
    """
    own = tuple(line for line in lines if line.request_id == request_id)
    if not own:
        return None
    context: list[LogLine] = []
    for node in dict.fromkeys(line.node for line in own):
        node_lines = tuple(line for line in own if line.node == node)
        context.extend(_find_node_context(node_lines, lines))
    context.sort(key=lambda line: line.at_s)
    return RequestTimeline(request_id, own, tuple(context), find_cause(own))


def _find_node_context(
    own: tuple[LogLine, ...], lines: tuple[LogLine, ...]
) -> list[LogLine]:
    """Return the lines of one node that may explain how it handled a request."""
    node, first_s, last_s = own[0].node, own[0].at_s, own[-1].at_s
    upstreams = {line.inputs["upstream"] for line in own if "upstream" in line.inputs}
    found_none = any(line.message == NO_CAPACITY for line in own)
    latest: dict[tuple[str, str], LogLine] = {}
    closings: dict[tuple[str, object], LogLine] = {}
    upstream_events: list[LogLine] = []
    for line in lines:
        is_own = line.request_id == own[0].request_id
        if line.node != node or is_own or line.at_s > last_s:
            continue
        if line.message in CLOSING_MESSAGES:
            if found_none or line.inputs.get("upstream") in upstreams:
                closings[(line.message, line.inputs.get("upstream"))] = line
        elif line.request_id != NO_REQUEST:
            continue
        elif line.part in STATE_PARTS or line.message == OLDER_COPY:
            # Keep only the last line of each kind, in the order of the last lines.
            latest.pop((line.part, line.message), None)
            latest[(line.part, line.message)] = line
        elif line.at_s >= first_s - UPSTREAM_EVENT_WINDOW_S:
            upstream = line.inputs.get("upstream")
            if upstream in upstreams or "zone" in line.inputs:
                upstream_events.append(line)
    states = list(latest.values())[-MAX_STATE_MESSAGES:]
    return [*states, *list(closings.values())[-MAX_CLOSINGS:], *upstream_events]


def find_cause(own: tuple[LogLine, ...]) -> str:
    """Return in a sentence how a request ended, and why.

    Args:
        own: The request's lines, in order of time; at least one.
    """
    ends = [line for line in own if line.message in END_MESSAGES]
    failures = [line for line in own if line.message == "A send failed."]
    sent = [line for line in own if line.message == "Sent."]
    last_failure = str(failures[-1].inputs.get("failure", "")) if failures else ""
    if not ends:
        return (
            "The logs do not show how it ended: the node stopped or lines are missing."
        )
    end = ends[-1]
    match end.message:
        case "Refused.":
            reason = end.inputs.get("reason", "no reason given")
            return f"Not admitted, status {end.inputs.get('status')}: {reason}."
        case "Refused, not run." if not sent:
            return "Refused and not run: no upstream had capacity."
        case "Refused, not run.":
            return (
                f"Refused and not run: {len(failures)} attempts reached no upstream "
                f"or were declined; the last failure: {last_failure}."
            )
        case "Broke off.":
            return f"The stream was interrupted: {last_failure}."
        case "Failed.":
            return f"Failed, but may have run; the outcome is unknown: {last_failure}."
        case "Out of time." if sent:
            last_upstream = sent[-1].inputs.get("upstream")
            return (
                f"The deadline passed after it was sent to {last_upstream}; "
                "it may have run."
            )
        case "Out of time.":
            return "The deadline passed before it was sent; it did not run."
        case "Passed on a failure.":
            return f"The upstream failed with status {end.inputs.get('status')}."
        case "The caller left.":
            return f"The caller disconnected: {end.inputs.get('error')}."
        case _:
            return f"Answered after {end.inputs.get('took_s')} s."
