"""Selection of the workers that a request may be sent to."""
