"""Focused failure tests with real processes."""
