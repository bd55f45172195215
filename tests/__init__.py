"""Tests, one file for each feature; helpers have names without ``test_``."""
