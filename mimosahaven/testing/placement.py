"""Target VMs of a deployment, with their addresses and settings."""

import dataclasses

from mimosahaven.testing import deployments
from mimosahaven.testing import ports as ports_lib

# Number of other daemons that each daemon contacts at startup.
SEED_COUNT = 3


@dataclasses.dataclass(frozen=True)
class Node:
    """A target VM: a target and its daemon, with their addresses."""

    name: str
    service: deployments.Service
    failure_domain: str
    host: str
    target_port: int
    entry_port: int
    link_port: int

    @property
    def daemon(self) -> str:
        """Name of the daemon process."""
        return f"{self.name}-daemon"

    @property
    def target_url(self) -> str:
        """Base URL of the target."""
        return f"http://{self.host}:{self.target_port}"

    @property
    def entry_url(self) -> str:
        """Base URL of the daemon's entry."""
        return f"http://{self.host}:{self.entry_port}"


def place_targets(
    deployment: deployments.Deployment, ports: ports_lib.PortAllocator
) -> list[Node]:
    """Spreads targets over the failure domains and allocates their ports."""
    nodes = []
    for service in deployment.services:
        for index in range(service.targets):
            domain_index = index % len(deployment.failure_domains)
            host = f"{deployment.address_prefix}.{domain_index + 1}"
            nodes.append(
                Node(
                    f"{service.name}-{index + 1}",
                    service,
                    deployment.failure_domains[domain_index],
                    host,
                    *ports.allocate(host, 3),
                )
            )
    return nodes


def make_member_list(
    nodes: list[Node], region: str, version: int, states: dict[str, str]
) -> dict:
    """Returns the platform's list of VMs.

    Args:
      nodes: The VMs.
      region: Region of all VMs.
      version: Version of the list.
      states: State by target name, for the VMs that are not live.
    """
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
    """Returns the contents of a daemon's settings file.

    Args:
      node: The VM of the daemon.
      nodes: All VMs of the deployment.
      region: Region of the VM.
      platform: Host and port of the platform.
      seed: Seed of the daemon's random numbers.
    """
    names = [n.name for n in nodes]
    node_index = names.index(node.name)
    seeds = (nodes[node_index + 1 :] + nodes[:node_index])[:SEED_COUNT]
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


def deep_merge(base: dict, overrides: dict) -> dict:
    """Returns a copy of base, recursively updated with overrides."""
    result = dict(base)
    for key, value in overrides.items():
        base_value = result.get(key)
        is_nested = isinstance(base_value, dict) and isinstance(value, dict)
        result[key] = deep_merge(base_value, value) if is_nested else value
    return result
