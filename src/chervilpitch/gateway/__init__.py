"""The gateway: sockets and tasks around the decisions of ``policy``."""
