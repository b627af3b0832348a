"""Routes opaque requests to workers that register themselves."""
