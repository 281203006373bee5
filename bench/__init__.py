"""Measured runs."""
