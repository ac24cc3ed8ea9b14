"""Sockets, threads and codecs; holds no policy."""
