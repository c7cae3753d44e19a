"""Fleet sizes of the two current deployments, Sfax and Sudur, as given in the requirements."""

from local_fleet import execute_service, query_service

SFAX = {"region": "sfax", "domains": ["sfax-medina", "sfax-port", "sfax-sakiet"]}
SUDUR = {"region": "sudur-iceland", "domains": ["sudur-a", "sudur-b", "sudur-c"]}


def sfax_services(latency_ms, sigma):
    domains = SFAX["domains"]
    return {
        "marshal-desk": query_service("marshal-desk", domains, 10, 3, 30, latency_ms, sigma),
        "depot-board": query_service("depot-board", domains, 15, 3, 30, latency_ms, sigma),
        "logbook": execute_service("logbook", domains, 30, 2, 110, latency_ms, sigma),
        "fare-ledger": execute_service("fare-ledger", domains, 15, 2, 110, latency_ms, sigma),
    }


def sudur_services(latency_ms, sigma):
    domains = SUDUR["domains"]
    return {
        "leit-vefur": query_service("leit-vefur", domains, 10, 3, 30, latency_ms, sigma),
        "greidslur": query_service("greidslur", domains, 15, 3, 30, latency_ms, sigma),
        "kvittun": execute_service("kvittun", domains, 30, 2, 35, latency_ms, sigma),
        "tilkynning": execute_service("tilkynning", domains, 15, 2, 35, latency_ms, sigma),
    }
