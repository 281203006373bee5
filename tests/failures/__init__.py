"""Failure tests that run real processes and inject one kind of fault."""
