"""A fleet in which the nodes of one zone have links to the workers of their own.

The nodes of that zone read a store of their own, which can name other addresses for the
workers: closed ports, or ports at which connections hang.
"""

from base64 import b64decode
from dataclasses import dataclass, field
from socket import AF_INET, SOCK_STREAM, socket

from msgspec import json

from features.support.fleet import PORTS, Process, http
from features.support.platform_fleet import PlatformFleet, PlatformNode, config
from lagoonhinge_platform.names import NODES_TABLE, ROWS_GET_PATH, SERVERS_TABLE

FAR_ZONE = "south"


class HangingPort:
    """A port at which new connections hang, as its queue of them is full."""

    def __init__(self) -> None:
        self.listener = socket(AF_INET, SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.waiting: list[socket] = []
        for _ in range(4):
            waiting = socket(AF_INET, SOCK_STREAM)
            waiting.setblocking(False)
            waiting.connect_ex(self.listener.getsockname())
            self.waiting.append(waiting)

    def close(self) -> None:
        """Close all sockets."""
        for entry in (*self.waiting, self.listener):
            entry.close()


@dataclass(eq=False)
class SplitFleet(PlatformFleet):
    """The processes of one scenario.

    Attributes:
        far_store: The store that the nodes of the far zone read.
        hanging: Ports at which connections hang.
    """

    far_store: Process | None = None
    services: dict[str, str] = field(default_factory=dict)
    hanging: list[HangingPort] = field(default_factory=list)

    def start_far_node(self) -> PlatformNode:
        """Start a node of the far zone."""
        if self.far_store is None:
            self.far_store = self._start_stand_in("far-store", "platform_store", ())
            self.wait_started()
            url = f"{self.far_store.url}/control/rows/op/config"
            assert http("PUT", url, json.encode(config())).status == 200
        address = f"127.0.0.1:{self.far_store.port}"
        return self.start_platform_node(
            **{"zone": FAR_ZONE, "platform.address": address}
        )

    def list_far_workers(self, addresses: dict[str, str]) -> None:
        """Write the addresses of the workers for the far zone."""
        for instance, address in addresses.items():
            entry = {
                "service": self.services[instance],
                "address": address,
                "zone": "north",
                "slots": 8,
                "state": "ready",
                "born": 1,
            }
            url = f"{self.far_store.url}/control/rows/{SERVERS_TABLE}/{instance}"
            assert http("PUT", url, json.encode(entry)).status == 200

    def true_addresses(self) -> dict[str, str]:
        """Return the addresses of the workers."""
        return {name: f"127.0.0.1:{w.port}" for name, w in self.workers.items()}

    def closed_addresses(self) -> dict[str, str]:
        """Return addresses that refuse connections."""
        return {name: f"127.0.0.1:{PORTS.allocate()}" for name in self.workers}

    def hanging_addresses(self) -> dict[str, str]:
        """Return addresses at which connections hang."""
        self.hanging = [HangingPort() for _ in self.workers]
        ports = zip(self.workers, self.hanging, strict=True)
        return {name: port.address for name, port in ports}

    def exchange_node_entries(self) -> None:
        """Write the entries of all nodes to both stores."""
        stores = (self.store, self.far_store)
        for source, target in (stores, stores[::-1]):
            answer = http("GET", f"{source.url}{ROWS_GET_PATH}?table={NODES_TABLE}")
            for row in answer.json()["rows"]:
                url = f"{target.url}/control/rows/{NODES_TABLE}/{row['key']}"
                assert http("PUT", url, b64decode(row["value"])).status == 200

    def stop(self) -> None:
        """Stop all processes and close the ports."""
        for port in self.hanging:
            port.close()
        super().stop()
