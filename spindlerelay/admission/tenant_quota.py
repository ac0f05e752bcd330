"""Tenant quotas: a token bucket per tenant, and a comparison with the traffic of the median tenant.

This module owns the tokens and the decaying request counts per tenant. It keeps no state of single requests.
"""

from __future__ import annotations

import math

from spindlerelay import api
from spindlerelay.admission.class_statistics import PRIOR_REQUESTS

# A bucket holds PRIOR_REQUESTS tokens and the quota of this many seconds.
BURST_SECONDS = 2.0
# A tenant may send this multiple of the median tenant's traffic, relative to their quotas, before it counts
# as over quota. The margin covers the uneven spread of a tenant's traffic over the servers.
FAIR_SHARE_FACTOR = 1.8


class TenantQuotas:
    """Decides which requests are over quota.

    A request is over quota if its tenant's bucket is empty and the tenant also sends more than the median
    tenant, relative to their quotas.
    """

    def __init__(self, settings: api.Settings) -> None:
        quotas = settings.tenant_quotas_per_s
        self._rates_per_s = [quota / settings.server_count for quota in quotas]  # quotas of this server
        self._tokens = [PRIOR_REQUESTS + 2 * quota / settings.server_count for quota in quotas] or [math.inf]
        fleet_quotas = quotas or (1.0,)
        self._quota_fractions = [quota / max(1.0, sum(fleet_quotas)) for quota in fleet_quotas]
        self.requests = [0.0] * len(fleet_quotas)  # by tenant index, in a decaying window
        # Total requests of all tenants if each sent as much as the median tenant, relative to its quota.
        self._median_requests = math.inf

    def charge(self, tenant: int, original_is_known: bool) -> bool:
        """Count a request and return whether it is over quota.

        A repeat of a request that is open or cached costs no token.
        """
        self.requests[tenant] += 1
        if original_is_known:
            return False
        fair_share = (
            PRIOR_REQUESTS + FAIR_SHARE_FACTOR * self._quota_fractions[tenant] * self._median_requests
        )
        if self._tokens[tenant] < 1.0 and self.requests[tenant] > fair_share:
            return True
        self._tokens[tenant] -= 1
        return False

    def refund(self, tenant: int) -> None:
        """Give back the token of a request that was rejected from the queue.

        Without the refund, retries of rejected requests would use up the quota.
        """
        self._tokens[tenant] += 1

    def advance(self, elapsed_ms: float, decay_factor: float) -> None:
        """Refill the buckets for ``elapsed_ms`` and multiply the request counts by ``decay_factor``."""
        self.requests = [count * decay_factor for count in self.requests]
        pairs = zip(self.requests, self._quota_fractions, strict=True)
        ratios = sorted(count / fraction for count, fraction in pairs if fraction)
        self._median_requests = 0.0
        if ratios:
            self._median_requests = (ratios[len(ratios) // 2] + ratios[(len(ratios) - 1) // 2]) / 2
        for tenant, rate in enumerate(self._rates_per_s):
            max_tokens = PRIOR_REQUESTS + BURST_SECONDS * rate
            self._tokens[tenant] = min(max_tokens, self._tokens[tenant] + rate * elapsed_ms / 1000.0)
