"""Homes: the regions to which the requests of a route or a workspace are bound."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from godwitrudder.version.catalogue import Homes


@dataclass(frozen=True, slots=True)
class Regions:
    """Regions of the failure domains.

    Attributes
    ----------
    region_by_failure_domain : mapping of str to str
        The known regions; a failure domain without one is in no home.
    """

    region_by_failure_domain: Mapping[str, str]

    def permit(self, failure_domain: str, *homes: Homes) -> bool:
        """Whether a failure domain lies in all of the homes that are not empty."""
        region = self.region_by_failure_domain.get(failure_domain)
        return all(region in each for each in homes if each)
