"""Gateway process: sockets and periodic tasks around the rules in ``policy``."""
