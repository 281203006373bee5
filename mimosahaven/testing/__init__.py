"""Stand-ins for the platform and the targets, and a process runner."""
