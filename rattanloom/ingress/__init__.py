"""The daemon's HTTP side: client requests, metrics page and readiness check."""
