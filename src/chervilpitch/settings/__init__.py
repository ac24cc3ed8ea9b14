"""Settings of one instance, read from INI."""
