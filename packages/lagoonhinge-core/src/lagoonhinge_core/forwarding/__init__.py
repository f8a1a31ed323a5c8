"""Decisions of the forwarding path: routes, upstreams, placement, retries."""
