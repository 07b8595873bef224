"""Starts a store, backend servers and instances on loopback for measurements."""
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TICKS = os.sysconf("SC_CLK_TCK")
START_LIMIT_S = 60
# Time until the shares of a new service are in use.
SETTLE_S = 9
# Servers have to drop vanished clients within 30 s (docs/decisions.md, question 3).
KEEP_ALIVE_MS = 10_000


def http(method, port, path, body=None, headers=None, timeout=5):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=body.encode() if body is not None else None,
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def instance_name(i):
    return f"instance{i + 1}"


def figures_of(load):
    """Waits for a load generator and returns the figures that it printed."""
    output = load.communicate()[0]
    return json.loads(output.strip().splitlines()[-1])


class Fleet:
    """Store, backend servers and instances of one run."""

    def __init__(
        self,
        build,
        instances,
        services,
        lag_ms=0,
        per_region=0,
        set_up_delay_ms=0,
        document=None,
        settings=None,
        fault_links=False,
    ):
        """`document` and `settings` hold keys that replace the defaults.

        With `fault_links` each instance reaches each backend server over a link
        of its own, named "<instance>/<server>"; see set_faults().
        """
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="snipewalk-fleet-")
        self.processes = {}
        self.set_up_delay_ms = set_up_delay_ms
        self.fault_links = fault_links
        self.document_keys = document or {}
        self.settings_keys = settings or {}
        self.documents = {}
        ready = self.standin("store", "standin-store")
        self.store = ready["port"]
        self.store_control = ready["control_port"]
        self.services = [f"service{i + 1}" for i in range(services)]
        for service in self.services:
            self.documents[service] = self.document(service, lag_ms)
            self.put(service, self.documents[service])
        ports = free_ports(4 * instances)
        self.ports = [ports[4 * i : 4 * i + 4] for i in range(instances)]
        self.per_region = per_region or instances
        self.links = {}
        if fault_links:
            self.start_fault_links()
        for i in range(instances):
            self.start(i)

    def standin(self, name, program, *arguments):
        process = subprocess.Popen(
            [os.path.join(self.build, program), *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes[name] = process
        return json.loads(process.stdout.readline())

    def document(self, service, lag_ms):
        servers = []
        for i in range(3):
            name = f"{service}-{i + 1}"
            ready = self.standin(
                name,
                "standin-backend",
                f"--name={name}",
                f"--apply_lag_ms={lag_ms}",
                f"--set_up_delay_ms={self.set_up_delay_ms}",
                f"--keep_alive_ms={KEEP_ALIVE_MS if self.fault_links else 0}",
                "--max_connections=20",
            )
            servers.append(
                {
                    "name": name,
                    "address": f"127.0.0.1:{ready['port']}",
                    "data_centre": f"dc{i + 1}",
                }
            )
        return {"service": service, "servers": servers, **self.document_keys}

    def start_fault_links(self):
        targets = {
            f"{name}/{entry['name']}": entry["address"]
            for name in map(instance_name, self.instances())
            for document in self.documents.values()
            for entry in document["servers"]
        }
        links = ",".join(f"{name}={target}" for name, target in targets.items())
        ready = self.standin("faults", "standin-faults", f"--links={links}")
        self.faults_port = ready["port"]
        self.links = {
            name: (targets[name], f"127.0.0.1:{port}")
            for name, port in ready["links"].items()
        }

    def set_faults(self, link, **faults):
        """Faults of one link, or of all for "*": cut, delay_ms, drop_percent."""
        self.inject("faults", {"link": link, **faults})

    def inject(self, action, body):
        status, text = http(
            "POST", self.faults_port, f"/standin/{action}", json.dumps(body)
        )
        assert status == 200, text

    def put(self, service, document):
        status, text = http("GET", self.store, f"/v1/objects/services/{service}")
        headers = {"If-None-Match": "*"}
        if status == 200:
            version = self.version(service)
            headers = {"If-Match": f'"{version}"'}
        status, text = http(
            "PUT",
            self.store,
            f"/v1/objects/services/{service}",
            json.dumps(document),
            headers,
        )
        assert status in (200, 201), (status, text)

    def version(self, service):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.store}/v1/objects/services/{service}"
        )
        with urllib.request.urlopen(request) as answer:
            return int(answer.headers["ETag"].strip('"'))

    def start(self, i):
        addresses = ["callers", "peers", "control", "admin"]
        prefix = instance_name(i) + "/"
        translation = dict(
            pair for name, pair in self.links.items() if name.startswith(prefix)
        )
        settings = {
            "instance": instance_name(i),
            "data_centre": f"dc{i % 3 + 1}",
            "region": f"r{i // self.per_region + 1}",
            "addresses": {
                name: f"127.0.0.1:{port}"
                for name, port in zip(addresses, self.ports[i])
            },
            "store": {"addresses": [f"127.0.0.1:{self.store}"]},
            "seeds": [f"127.0.0.1:{p[2]}" for p in self.ports[:4]],
            "traffic": {"threads": 1},
            "shutdown": {"notice_ms": 100},
            "address_translation": translation,
            **self.settings_keys,
        }
        path = os.path.join(self.folder, f"instance{i + 1}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(path + ".log", "a") as log:
            self.processes[f"instance{i + 1}"] = subprocess.Popen(
                [os.path.join(self.build, "snipewalkd"), "--settings=" + path],
                stderr=log,
            )

    def stop(self, i, timeout=60):
        """Shuts an instance down gracefully; returns its exit code."""
        process = self.processes[f"instance{i + 1}"]
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout)

    def mark(self, service, server, state):
        """Sets the state of one server in the document of a service."""
        document = self.documents[service]
        for entry in document["servers"]:
            if entry["name"] == server:
                entry["state"] = state
        self.put(service, document)

    def term(self, service):
        status, text = http("GET", self.store, f"/v1/objects/terms/{service}")
        return json.loads(text) if status == 200 else {}

    def set_store_outage(self, outage):
        body = json.dumps({"outage": outage})
        status, text = http("POST", self.store_control, "/standin/faults", body)
        assert status == 200, text

    def control(self, i):
        status, text = http("GET", self.ports[i][3], "/v1/state")
        return json.loads(text) if status == 200 else {}

    def write(self, i, service, timeout_ms=1000):
        headers = {
            "Snipewalk-Account": "capacity",
            "Snipewalk-Kind": "write",
            "Snipewalk-Timeout-Ms": str(timeout_ms),
        }
        path = f"/v1/services/{service}/statements"
        return http("POST", self.ports[i][0], path, "set a b", headers)[0] == 200

    def wait_until_serving(self):
        end = time.time() + START_LIMIT_S
        for service in self.services:
            for i in (0, len(self.ports) - 1):
                while not self.write(i, service):
                    assert time.time() < end, f"{service} is not served"
                    time.sleep(0.1)
        count = len(self.ports)
        while self.control(count - 1).get("live_members", 0) < count:
            assert time.time() < end, "membership is not complete"
            time.sleep(0.1)
        time.sleep(SETTLE_S)

    def cpu_seconds(self, i):
        """Processor time of all threads of an instance."""
        pid = self.processes[f"instance{i + 1}"].pid
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_bytes(self, i):
        pid = self.processes[f"instance{i + 1}"].pid
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def store_calls(self):
        status, text = http("GET", self.store_control, "/standin/stats")
        return sum(json.loads(text)["calls"].values())

    def instances(self):
        return range(len(self.ports))

    def start_load(self, *arguments):
        addresses = ",".join(f"127.0.0.1:{p[0]}" for p in self.ports)
        return subprocess.Popen(
            [
                os.path.join(self.build, "snipewalk-load"),
                f"--instances={addresses}",
                "--services=" + ",".join(self.services),
                "--json",
                *arguments,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )

    def load(self, *arguments):
        """Runs the load generator to its end; returns its figures."""
        return figures_of(self.start_load(*arguments))

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
