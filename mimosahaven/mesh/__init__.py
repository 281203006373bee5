"""Data plane of the service mesh mode.

Callers and targets speak plain HTTP to the daemon on their own VM. The daemons
forward requests transparently between VMs; the routes determine which service
runs a request.
"""
