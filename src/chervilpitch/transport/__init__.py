"""Sockets, HTTP clients and servers, and message coding; contains no policy."""
