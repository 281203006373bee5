"""Transparent forwarding between the VMs of a service mesh.

Callers and targets speak plain HTTP to the daemon of their own VM; routes say
which service runs a request. The modules here are the data plane of that mode.
"""
