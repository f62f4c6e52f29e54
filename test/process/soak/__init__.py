"""Parts of the soak: callers, faults and the checks of what was seen."""
