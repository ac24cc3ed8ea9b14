"""Release notes from the platform and from peers."""
