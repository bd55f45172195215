"""The operators' command line and the configuration folder."""
