"""Limits of what a node keeps and tells of requests that crash upstreams."""

# Documents that prompts share are in use for hours; an answer ends a quarantine sooner.
QUARANTINE_S = 600.0
GOSSIP_DURATION_S = 1.0  # reports are sent repeatedly, as datagrams may be lost
# Entries of each kind; a network partition breaks off some tens of attempts per node.
MAX_ENTRIES = 1000
MAX_GOSSIPED = 100  # of each kind in a message, so that it fits into a datagram
