"""The story of one request, from the lines of all nodes' logs."""

from dataclasses import dataclass

from lagoonhinge_ctl.log_files import NO_REQUEST, LogLine

# How far back news of the upstreams that a request went to may explain its end.
UPSTREAM_NEWS_S = 10.0
# Parts whose last word, however old, is what a node believes.
BELIEF_PARTS = frozenset(("config", "node", "nodes", "settings"))
BELIEF_MESSAGES_SHOWN = 6  # most of them at each node
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
class Story:
    """What happened to a request.

    Attributes:
        request_id: Identity of the client attempt.
        lines: Its own lines, in order of time.
        beliefs: What the nodes that had it believed, by lines in order of time.
        cause: What ended it, in a sentence.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    cause: str


def tell_story(request_id: str, lines: tuple[LogLine, ...]) -> Story | None:
    """Return a request's story, or `None` if no line has its identity.

    Args:
        request_id: Identity of the client attempt.
        lines: Lines of all nodes, in order of time.
    """
    own = tuple(line for line in lines if line.request_id == request_id)
    if not own:
        return None
    beliefs: list[LogLine] = []
    for node in dict.fromkeys(line.node for line in own):
        mine = tuple(line for line in own if line.node == node)
        beliefs.extend(_beliefs(mine, lines))
    beliefs.sort(key=lambda line: line.at_s)
    return Story(request_id, own, tuple(beliefs), find_cause(own))


def _beliefs(own: tuple[LogLine, ...], lines: tuple[LogLine, ...]) -> list[LogLine]:
    """Return what one node had logged that may have decided on a request."""
    node, first_s, last_s = own[0].node, own[0].at_s, own[-1].at_s
    upstreams = {line.inputs["upstream"] for line in own if "upstream" in line.inputs}
    beliefs: dict[tuple[str, str], LogLine] = {}
    news: list[LogLine] = []
    for line in lines:
        if line.node != node or line.request_id != NO_REQUEST or line.at_s > last_s:
            continue
        if line.part in BELIEF_PARTS:
            # The last of each kind counts, at the place where it came.
            beliefs.pop((line.part, line.message), None)
            beliefs[(line.part, line.message)] = line
        elif line.at_s >= first_s - UPSTREAM_NEWS_S:
            named = line.inputs.get("upstream")
            if named in upstreams or "zone" in line.inputs:
                news.append(line)
    return [*list(beliefs.values())[-BELIEF_MESSAGES_SHOWN:], *news]


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
        return "Its end is not in these logs: the node stopped, or lines are missing."
    end = ends[-1]
    match end.message:
        case "Refused.":
            reason = end.inputs.get("reason", "no reason given")
            return f"Not admitted, status {end.inputs.get('status')}: {reason}."
        case "Refused, not run." if not sent:
            return "Refused and not run: no upstream had room."
        case "Refused, not run.":
            return (
                f"Refused and not run: {len(failures)} sends reached no upstream or "
                f"were declined; the last: {last_failure}."
            )
        case "Broke off.":
            return f"The stream broke off: {last_failure}."
        case "Failed.":
            return f"Failed after it may have run; the outcome is open: {last_failure}."
        case "Out of time." if sent:
            last = sent[-1].inputs.get("upstream")
            return f"The time limit passed while {last} had it; it may have run."
        case "Out of time.":
            return "The time limit passed before it was sent; it did not run."
        case "Passed on a failure.":
            return f"The upstream failed it with status {end.inputs.get('status')}."
        case "The caller left.":
            return f"The caller left: {end.inputs.get('error')}."
        case _:
            return f"Answered after {end.inputs.get('took_s')} s."
