"""Shows the main job on loopback; ends with a table and a non-zero status on errors."""

import sys

import anyio

from basilgate import client, wire
from lab import cluster
from standins import fabric

PLAN = cluster.Plan(
    balancers={"suceava": 4, "radauti": 4},
    services=(
        cluster.ServicePlan("order-desk", 1, "short", {"suceava": 3, "radauti": 4}),
        cluster.ServicePlan("photo-store", 2, "long", {"suceava": 2, "radauti": 1}),
    ),
)


async def main() -> int:
    """Run a few requests and return the exit status."""
    async with cluster.running(PLAN) as running:
        transport = await fabric.connect("127.0.0.1", running.caller_addresses(), 1)
        async with client.Client(transport) as caller:
            for service, size in ((1, 16), (2, 2_000_000)):
                flow = (await caller.open(service, client.now_ms() + 2000)).unwrap()
                for _ in range(3):
                    outcome = await flow.request(
                        b'{"answer_bytes": %d}' % size,
                        client.now_ms() + 5000,
                        work_class=wire.WorkClass.SHORT,
                    )
                    print(str(outcome)[:60])
        print(await running.status("suceava-1"))
        cluster.show_logs(running)
    return 0


if __name__ == "__main__":
    sys.exit(anyio.run(main))
