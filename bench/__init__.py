"""Demo, benches, and the simulated and in-process fleets that they run on."""
