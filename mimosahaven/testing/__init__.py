"""Fake platform and targets, and a runner for processes under test."""
