"""Forwarding path of a node: callers, upstreams, what is followed and exchanged."""
