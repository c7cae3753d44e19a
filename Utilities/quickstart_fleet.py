"""Runs the demo of Utilities/quickstart: stand-ins, three daemons, a contract, queries, one execute request, the status."""

import json
import sys

from local_fleet import OPERATOR_TOKEN, Fleet, call, contract, execute_service, query_service

DOMAINS = ["sfax-medina", "sfax-port", "sfax-sakiet"]
REGION = "sfax"
TOKEN = "callers-token"
SERVICES = {
    "marshal-desk": query_service("marshal-desk", DOMAINS, shards=10, slots=3, connections=30, latency_ms=5),
    "logbook": execute_service("logbook", DOMAINS, servers=30, slots=2, connections=110, latency_ms=5),
}


def title(text):
    print("==", text, flush=True)


def start(fleet):
    title("Stand-ins for the platform and for the backend servers of three failure domains")
    fleet.start_platform()
    for domain in DOMAINS:
        fleet.start_backends(domain)
    texts = {name: fleet.create_service(service) for name, service in SERVICES.items()}
    print("platform at", fleet.platform.addresses["http"])

    title("Three daemons, one for each failure domain")
    for domain in DOMAINS:
        daemon = fleet.start_daemon(domain + "-entry-1", domain, REGION)
        print(domain + "-entry-1:", " ".join(f"{name}={address}" for name, address in daemon.addresses.items()))
    return texts


def tool(fleet, *arguments):
    print("$ daisystile", *arguments)
    print(fleet.tool(*arguments).stdout, end="", flush=True)


def configure(fleet, texts):
    title("Services and a contract, by the operators' tool")
    for name, text in texts.items():
        tool(fleet, "service", "apply", fleet.write(name + ".json", text))
    terms = contract("ben-salah", TOKEN, list(SERVICES), rate=200, burst=50, concurrency=50, wait_ms=1000)
    tool(fleet, "contract", "apply", fleet.write("ben-salah.toml", terms))
    fleet.wait_all_ready()


def request(fleet, position, path, body, **headers):
    address = fleet.callers()[position]
    status, answer = call(address, "POST", path, body, {"Authorization": "Bearer " + TOKEN, **headers})
    print(f"$ POST http://{address}{path} {json.dumps(body)}")
    return status, answer


def show_query(fleet, position):
    status, answer = request(fleet, position, "/v1/services/marshal-desk/query", {"query": "roster 12"})
    if status != 200:
        print(status, answer)
        return False
    coverage = answer["coverage"]
    print(f"{status}: covered {coverage['covered']} of {coverage['shards']} shards, snapshot {answer['snapshot']}, {len(answer['results'])} results")
    for result in answer["results"][:3]:
        print("   ", json.dumps(result))
    return coverage["covered"] == coverage["shards"] == 10


def show_execute(fleet):
    path = "/v1/services/logbook/execute"
    body = {"incident": "stop 12"}
    answers = []
    for position in (0, 1):
        status, answer = request(fleet, position, path, body, **{"Idempotency-Key": "quickstart-1"})
        print(f"{status}: {json.dumps(answer)}")
        answers.append((status, answer))
    runs = fleet.records()[1].get("quickstart-1", 0)
    print("the second request was a resend through another daemon; the backend servers ran the key", runs, "time(s)")
    return answers[0] == answers[1] and answers[0][0] == 200 and runs == 1


def wait_serving(fleet):
    """Waits for full coverage through every daemon: servers start cold, so the first answers may be partial."""

    def covered(address):
        headers = {"Authorization": "Bearer " + TOKEN}
        status, answer = call(address, "POST", "/v1/services/marshal-desk/query", {"query": "warm up"}, headers)
        return status == 200 and answer["coverage"]["covered"] == answer["coverage"]["shards"]

    fleet.wait(lambda: all(covered(address) for address in fleet.callers()), "full coverage from every daemon")


def leave_running(fleet):
    title("Left running")
    print(f"export DAISYSTILE_DAEMON={fleet.operators()} DAISYSTILE_TOKEN={OPERATOR_TOKEN}")
    print("stop all with: kill", *(process.pid for process in fleet.release()))


def main(binaries, keep_running):
    fleet = Fleet(binaries)
    try:
        texts = start(fleet)
        configure(fleet, texts)
        wait_serving(fleet)
        title("Queries through each daemon")
        succeeded = all([show_query(fleet, position) for position in range(len(DOMAINS))])
        title("One execute, sent twice with the same key")
        succeeded = show_execute(fleet) and succeeded
        title("Status")
        tool(fleet, "status")
        tool(fleet, "domain", "list")
        tool(fleet, "report", "burn")
        if keep_running:
            leave_running(fleet)
    finally:
        fleet.stop()
    title("Done" if succeeded else "Something above is not as it should be")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], "--keep" in sys.argv[2:]))
