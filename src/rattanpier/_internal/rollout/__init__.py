"""Version roll-outs: evidence collection, evaluation and the driver."""
