"""Configuration and headers of a small deployment, after the sheet of Perth."""

from itertools import count
from typing import Any

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODELS, REGISTRY = "assist-models", "cert-registry"
ENGINE: dict[str, Any] = {
    "slots": 8,
    "kvTokens": 405_000,
    "kvBytes": 163_840,
    "linkMbps": 400_000.0,
    "stride": 34,
    "models": [{"name": "m"}],
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "hopMs": 0.1,
}
MAX_BODY_BYTES = 4_194_304
attempts = count(1)


def route(
    prefix: str, kind: str, service: str, timeout_ms: int, aim_ms: int, **more: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind != "non_idempotent" else 1,
        "public": False,
        **more,
    }


def stream(prefix: str, timeout_ms: int, aim_ms: int, gap_ms: int) -> dict[str, Any]:
    """Return a route of streams that may be resumed."""
    more = {"sticky": True, "resumable": True, "gapAimMs": gap_ms}
    return route(prefix, "stream", MODELS, timeout_ms, aim_ms, **more)


ROUTES = (
    stream("/spec-query/", 10_000, 300, 250),
    stream("/batch-dossier/", 10_000, 1500, 600),
    stream("/season-audit/", 15_000, 3000, 1000),
    route("/cert-issue/", "non_idempotent", REGISTRY, 1200, 150),
    route("/cert-lookup/", "idempotent", REGISTRY, 1200, 150),
)


def config(
    version: int = 7, tenants: dict[str, list[str]] | None = None
) -> dict[str, Any]:
    """Return the operator's configuration."""
    plain = {"healthPath": "/healthz", "protocol": "h1", "tls": False}
    keys = {TENANT: [KEY]} if tenants is None else tenants
    return {
        "version": version,
        "routes": list(ROUTES),
        "services": [
            {"name": MODELS, "maxConnections": 374, "engine": ENGINE, **plain},
            {"name": REGISTRY, "maxConnections": 110, **plain},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": name, "apiKeys": value} for name, value in keys.items()],
    }


def headers(
    attempt: str, limit_ms: int, tokens: str = "", parts: str = "", key: str = KEY
) -> dict[str, str]:
    """Return the headers that a client sends."""
    sent = {
        "Host": HOST,
        "Lagoonhinge-Attempt-Id": attempt,
        "Lagoonhinge-Deadline-Ms": str(limit_ms),
        "Authorization": f"Bearer {key}",
    }
    if tokens:
        sent |= {
            "Lagoonhinge-Model": "m",
            "Lagoonhinge-Token-Counts": tokens,
            "Lagoonhinge-Prompt-Prefix": parts or f"5c1e07a2:40,{attempt}:100",
        }
    return sent


def next_attempt() -> str:
    """Return the id of a new client attempt."""
    return f"{next(attempts):016x}"
