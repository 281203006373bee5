"""Stand-ins of the reviewer: store, backends, clients, proxies, machines."""
