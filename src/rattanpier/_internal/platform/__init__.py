"""Adapters between the router and the platform that it runs on.

Only this package uses the platform's names for fields, headers and calls. Each
is decoded once, into types of the router with descriptive field names.
"""
