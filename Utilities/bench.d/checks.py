"""Collects the checks of a benchmark and prints one JSON line for each."""

import json


class Checks:
    def __init__(self):
        self.lines = []

    def at_most(self, check, value, bound, unit, baseline=None):
        self._add(check, value, bound, unit, baseline, value is not None and value <= bound)

    def at_least(self, check, value, bound, unit, baseline=None):
        self._add(check, value, bound, unit, baseline, value is not None and value >= bound)

    def report(self, check, value, unit, baseline=None):
        """Records a value without a bound."""
        self._add(check, value, None, unit, baseline, value is not None)

    def _add(self, check, value, bound, unit, baseline, holds):
        rounded = round(value, 4) if isinstance(value, float) else value
        base = round(baseline, 4) if isinstance(baseline, float) else baseline
        self.lines.append({"check": check, "value": rounded, "unit": unit, "bound": bound, "baseline": base, "holds": holds})

    def print(self):
        for line in self.lines:
            print(json.dumps(line), flush=True)

    def all_hold(self):
        return bool(self.lines) and all(line["holds"] for line in self.lines)
