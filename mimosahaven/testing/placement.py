"""Target VMs of a deployment, their addresses and their settings."""

import dataclasses

from mimosahaven.testing import deployments
from mimosahaven.testing import ports as ports_lib

SEED_COUNT = 3


@dataclasses.dataclass(frozen=True)
class Node:
    """A target VM: the target, its daemon and their addresses."""

    name: str
    service: deployments.Service
    failure_domain: str
    host: str
    target_port: int
    entry_port: int
    link_port: int

    @property
    def daemon(self) -> str:
        """Name of the daemon's process."""
        return f"{self.name}-daemon"

    @property
    def target_url(self) -> str:
        """Address of the target."""
        return f"http://{self.host}:{self.target_port}"

    @property
    def entry_url(self) -> str:
        """Address of the daemon's entry."""
        return f"http://{self.host}:{self.entry_port}"


def place_targets(
    deployment: deployments.Deployment, ports: ports_lib.PortAllocator
) -> list[Node]:
    """Spreads the targets over the failure domains and takes their ports."""
    nodes = []
    for service in deployment.services:
        for index in range(service.targets):
            domain = index % len(deployment.failure_domains)
            host = f"{deployment.address_prefix}.{domain + 1}"
            nodes.append(
                Node(
                    f"{service.name}-{index + 1}",
                    service,
                    deployment.failure_domains[domain],
                    host,
                    *ports.allocate(host, 3),
                )
            )
    return nodes


def make_member_list(
    nodes: list[Node], region: str, version: int, states: dict[str, str]
) -> dict:
    """Returns the platform's list; states holds those that are not live."""
    return {
        "version": version,
        "members": [
            {
                "target": node.name,
                "service": node.service.name,
                "failure_domain": node.failure_domain,
                "region": region,
                "host": node.host,
                "entry_port": node.entry_port,
                "link_port": node.link_port,
                "state": states.get(node.name, "live"),
            }
            for node in nodes
        ],
    }


def make_daemon_settings(
    node: Node, nodes: list[Node], region: str, platform: dict, seed: int
) -> dict:
    """Returns the settings of a daemon, as its file holds them."""
    names = [n.name for n in nodes]
    place_in_list = names.index(node.name)
    seeds = (nodes[place_in_list + 1 :] + nodes[:place_in_list])[:SEED_COUNT]
    return {
        "target": {
            "name": node.name,
            "service": node.service.name,
            "failure_domain": node.failure_domain,
            "region": region,
            "endpoint": {"host": node.host, "port": node.target_port},
            "slots": node.service.slots,
            "connections": node.service.connections,
        },
        "entry": {"host": node.host, "port": node.entry_port},
        "link": {"host": node.host, "port": node.link_port},
        "platform": platform,
        "seeds": [{"host": n.host, "port": n.link_port} for n in seeds],
        "seed": seed,
    }


def deep_merge(base: dict, over: dict) -> dict:
    """Returns base with the values of over, part by part."""
    result = dict(base)
    for key, value in over.items():
        old = result.get(key)
        both = isinstance(old, dict) and isinstance(value, dict)
        result[key] = deep_merge(old, value) if both else value
    return result
