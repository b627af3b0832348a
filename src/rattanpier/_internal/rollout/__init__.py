"""Roll-outs: evidence, the judgement, and the driver."""
