"""The filters of the request path."""
