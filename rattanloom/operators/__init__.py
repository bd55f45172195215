"""Operators' command line, and the pages of entry hosts for operators."""
