"""A dispatcher of sub-second tasks, in two versions.

The daemon on the platform (``daemon``, ``daemon_commands``) uses the packages
``placement``, ``ownership``, ``links`` and ``ingress``, and the modules
``registry``, ``tables``, ``reload``, ``background`` and ``decision_log``.
The stand-alone version with entry hosts (``core``) uses the packages ``callers``,
``operators``, ``peers`` and ``targets``, and most modules directly in this package.
Both use ``clock``, ``environment``, ``errors``, ``metrics``, ``settings``,
``signals`` and ``status``; ``platform`` has modules for each.
"""

__version__ = "0.1.0"
