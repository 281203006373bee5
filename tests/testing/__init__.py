"""Tests of mimosahaven.testing."""
