"""Tests, one file a feature."""
