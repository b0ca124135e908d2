#!/usr/bin/env python3
"""Both forms of the node beside a direct client and a plain relay on loopback, in turn, in one run.

  bench/two_forms.py speed [--rounds N] [--seconds S] [--connections N ...]   requests/s, p50/p99, CPU a request
  bench/two_forms.py idle [--idle N]                                          memory with N idle connections
  bench/two_forms.py counts                                                   instructions and allocations a request

Wants a build with the tests (--build DIR, build-test), and valgrind for `counts`. Each proxy has one core
of its own where the machine has enough of them. Ends what it started. Prints tables in Markdown.
--forms names what is measured; NAME=FILE adds another build of the daemon, as in --forms daemon parent=/path/of/it.
"""
import argparse
import os
import re
import signal
import socket
import time

from size_and_faults import CPUS, ROOT, SAFE, UNSAFE, Run, ratio, spread

FORMS = {"daemon": "nettlestand", "restinio": "tests/forms/nettlestand_restinio_service",
         "httplib": "tests/forms/nettlestand_httplib_service"}


class Forms(Run):
    def __init__(self, args):
        super().__init__(args.build)
        self.path = None

    def program(self, name):
        if name == "nettlestand" and self.path:
            return self.path
        return super().program(name)

    def started(self, form, ports, cpus, wrapper=()):
        """The port of what stands before these servers; the program started last is it."""
        if form == "relay":
            return self.relay(ports, cpus)
        self.path = FORMS.get(form) and os.path.join(self.build, FORMS[form])
        if "=" in form:
            self.path = form.split("=", 1)[1]
        if wrapper:
            script = os.path.join(self.folder.name, "wrapped")
            with open(script, "w") as out:
                out.write("#!/bin/sh\nexec " + " ".join(wrapper) + " " + self.path + "\n")
            os.chmod(script, 0o755)
            self.path = script
        return self.node(ports, cpus, [SAFE, UNSAFE])


def places():
    """Cores for the proxy, the load and the servers: one each where there are enough."""
    if len(CPUS) >= 6:
        return [CPUS[-1]], [CPUS[-2]], CPUS[-5:-2]
    return None, None, None


def speed(args):
    proxy, load, servers = places()
    forms = args.forms + ["relay"]
    print("| connections | form | served/s | p50 ms | p99 ms | refused or failed | CPU us a request | CPU over the relay's |\n|" +
          " --- |" * 8)
    for callers in args.connections:
        seen = {form: [] for form in ["direct"] + forms}
        for _ in range(args.rounds):
            for form in seen:
                with Forms(args) as run:
                    ports = [run.server([servers[i]] if servers else None) for i in range(3)]
                    if form == "direct":
                        got = run.load(ports[0], load, callers=callers, seconds=args.seconds)["all"]
                        got["cpu_us"] = 0
                    else:
                        port = run.started(form, ports, proxy)
                        run.load(port, load, callers=callers, seconds=1)  # the first second
                        before = run.cpu()
                        got = run.load(port, load, callers=callers, seconds=args.seconds)["all"]
                        got["cpu_us"] = (run.cpu() - before) / max(1, got["calls"]) * 1e6
                    seen[form].append(got)
        of = lambda form, key: [r[key] for r in seen[form]]
        for form in seen:
            lost = sum(r["calls"] - r["served"] for r in seen[form])
            cpu = spread(of(form, "cpu_us"), "{:.1f}") if form != "direct" else "-"
            over = ratio(of(form, "cpu_us"), of("relay", "cpu_us")) if form not in ("direct", "relay") else "-"
            print(f"| {callers} | {form.split('=')[0]} | {spread(of(form, 'served_per_s'))} | "
                  f"{spread(of(form, 'p50_ms'), '{:.2f}')} | {spread(of(form, 'p99_ms'), '{:.2f}')} | "
                  f"{lost} of {sum(of(form, 'calls'))} | {cpu} | {over} |", flush=True)


def resident_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def idle(args):
    """Each connection has had one answer, and keeps quiet."""
    print("| form | resident KB with none | with the idle connections | KB a connection |\n|" + " --- |" * 4)
    request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    for form in args.forms + ["relay"]:
        with Forms(args) as run:
            ports = [run.server() for _ in range(3)]
            port = run.started(form, ports, None)
            run.load(port, None, callers=16, seconds=1)
            time.sleep(0.5)
            before, held = resident_kb(run.children[-1].pid), []
            for _ in range(args.idle):
                s = socket.create_connection(("127.0.0.1", port), 5)
                s.sendall(request)
                s.recv(4096)
                held.append(s)
            after = resident_kb(run.children[-1].pid)
            print(f"| {form.split('=')[0]} | {before} | {after} ({len(held)} connections) | "
                  f"{(after - before) / len(held):.2f} |", flush=True)
            for s in held:
                s.close()


def counted(args, form, calls, tool):
    with Forms(args) as run:
        ports = [run.server() for _ in range(3)]
        out = os.path.join(run.folder.name, "valgrind")
        port = run.started(form, ports, None, ["valgrind", "--tool=" + tool, f"--log-file={out}"] +
                    (["--callgrind-out-file=/dev/null"] if tool == "callgrind" else ["--leak-check=no"]))
        run.load(port, None, callers=4, calls=calls, seconds=60, **{"class": "safe,safe,timeout=5"})
        child = run.children[-1]
        child.send_signal(signal.SIGTERM)
        child.wait()
        with open(out) as log:
            text = log.read()
        found = re.search(r"Collected : (\d+)" if tool == "callgrind" else r"total heap usage: ([\d,]+) allocs", text)
        return int(found.group(1).replace(",", ""))


def counts(args):
    """By difference: what 2,000 calls more take, so that start and end fall out."""
    print("| form | instructions a request | allocations a request |\n|" + " --- |" * 3)
    for form in args.forms:
        row = [(counted(args, form, 3000, tool) - counted(args, form, 1000, tool)) / 2000
               for tool in ("callgrind", "memcheck")]
        print(f"| {form.split('=')[0]} | {row[0]:.0f} | {row[1]:.1f} |", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("speed", "idle", "counts"))
    parser.add_argument("--build", default=os.path.join(ROOT, "build-test"))
    parser.add_argument("--forms", nargs="*", default=list(FORMS))
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[16, 64, 256])
    parser.add_argument("--idle", type=int, default=2000)
    args = parser.parse_args()
    {"speed": speed, "idle": idle, "counts": counts}[args.what](args)


main()
