"""Which workers a request may go to."""
