"""Forwarding path of a node: callers, upstreams, store watches and load updates."""
