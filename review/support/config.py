"""Configuration and requests of a small deployment, after the pages of Perth."""

from itertools import count
from json import dumps
from typing import Any

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODELS = "assist-models"
REGISTRY = "cert-registry"
SPEC, DOSSIER, AUDIT = "/spec-query/", "/batch-dossier/", "/season-audit/"
ISSUE, LOOKUP = "/cert-issue/", "/cert-lookup/"
LIMITS_MS = {SPEC: 10_000, DOSSIER: 10_000, AUDIT: 15_000, ISSUE: 2_500, LOOKUP: 2_500}
NUMBERS = count(1)


def _stream(prefix: str, timeout_ms: int, aim_ms: int, gap_ms: int) -> dict[str, Any]:
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": "stream",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 1,
        "service": MODELS,
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapAimMs": gap_ms,
    }


def _plain(prefix: str, kind: str, attempts: int) -> dict[str, Any]:
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": REGISTRY,
        "maxAttempts": attempts,
        "public": False,
    }


def config(engine_slots: int = 16) -> bytes:
    """Return the operator's configuration."""
    engine = {
        "slots": engine_slots,
        "kvTokens": 405_000,
        "kvBytes": 163_840,
        "linkMbps": 400_000.0,
        "stride": 34,
        "models": [{"name": "m"}],
        "step_ms": 1.31,
        "per_seq_ms": 0.000917,
        "context_per_k": 0.00213,
        "read_per_s": 154_000.0,
        "pairs_per_m": 0.162,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "hopMs": 0.1,
    }
    value = {
        "version": 7,
        "routes": [
            _stream(SPEC, 10_000, 300, 250),
            _stream(DOSSIER, 10_000, 1500, 600),
            _stream(AUDIT, 15_000, 3000, 1000),
            _plain(ISSUE, "non_idempotent", 1),
            _plain(LOOKUP, "idempotent", 2),
        ],
        "services": [
            {
                "name": MODELS,
                "healthPath": "/healthz",
                "maxConnections": 374,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": REGISTRY,
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
    return dumps(value).encode()


def next_attempt() -> str:
    """Return a new id of a client attempt."""
    return f"{next(NUMBERS):016x}"


def client_headers(
    attempt: str, route: str, tokens: str = "", prefix: str = ""
) -> dict[str, str]:
    """Return the headers that a client sends."""
    headers = {
        "Host": HOST,
        "Lagoonhinge-Attempt-Id": attempt,
        "Lagoonhinge-Deadline-Ms": str(LIMITS_MS[route]),
        "Authorization": f"Bearer {KEY}",
    }
    if tokens:
        headers["Lagoonhinge-Model"] = "m"
        headers["Lagoonhinge-Token-Counts"] = tokens
        headers["Lagoonhinge-Prompt-Prefix"] = prefix or f"5c1e07a2:40,{attempt}:100"
    return headers
