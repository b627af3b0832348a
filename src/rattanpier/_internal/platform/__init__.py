"""Translates between the product and the users' platform, and no more.

The platform's names for fields, headers and calls stand here alone. Each is
decoded once, into types of the product whose fields say what they hold.
"""
