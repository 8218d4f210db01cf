/**
 * An endpoint that starts again under its id is granted the keys of its earlier
 * life with the old fencing token.
 */
import {startInstance} from '../../standin/fleet/instance.js';
import {
  BOUNDS,
  IS_TROUBLED,
  newId,
  now,
  send,
  sleep,
  startFleet,
} from './fleet.mjs';

const VIEWER = {
  name: 'roadside-info',
  keyed: true,
  count: 3,
  slots: 18,
  workMs: 60,
};
const ROUTE = {
  name: 'pass-status',
  prefix: '/status/',
  kind: 'idempotent',
  service: VIEWER.name,
  timeoutS: 1.2,
} as const;

/** Times for which the endpoint is down, in milliseconds. */
const DOWN_MS = [500, 1000, 1500, 1000];

const folder = process.argv[2];
const fleet = await startFleet(folder, [VIEWER], [ROUTE], 'rpc');
const {machines, note, end} = fleet;
await sleep(6000);

let isOver = false;
const clients = machines.map(async ({callers}) => {
  while (!isOver) {
    void send({
      address: callers,
      path: '/status/2f',
      id: newId(),
      key: Math.floor(Math.random() * 65536),
      deadlineMs: 1200,
      limitMs: 1500,
    });
    await sleep(20);
  }
});

const [machine] = machines;
const found: object[] = [];
for (const [index, downMs] of DOWN_MS.entries()) {
  const earlier = machine.endpoint;
  const had = Math.max(...earlier.holds().map(([, , fence]) => fence));
  if (!Number.isFinite(had)) await end(2, 'the endpoint holds no keys');
  if (IS_TROUBLED) {
    earlier.crash();
    note('endpoint crashed', {holds: earlier.holds(), fence: had});
    await sleep(downMs);
    const [host, port] = earlier.address.split(':');
    const life = await startInstance({
      id: `i-0-${VIEWER.name}`,
      born: Date.now(),
      service: VIEWER.name,
      zone: machine.zone,
      slots: VIEWER.slots,
      workMs: VIEWER.workMs,
      keyed: true,
      heartbeatIntervalMs: BOUNDS.heartbeatS * 1000,
      grants: 'call',
      control: machine.control,
      host,
      port: Number(port),
    });
    machine.endpoint = life;
    note('endpoint started again under its id', {index, downMs});
    const until = now() + 5;
    const outdated = () => life.holds().filter(([, , fence]) => fence <= had);
    while (now() < until && outdated().length === 0) await sleep(5);
    if (outdated().length > 0) {
      const holds = outdated();
      await sleep(500);
      // It runs requests for these keys, with the token of the life before.
      const fields = {index, had, holds, runs: life.runs.length};
      note('keys taken with a token that is not above', fields);
      found.push(fields);
    }
  }
  await sleep(6000);
  note('holds now', {holds: machine.endpoint.holds()});
}
isOver = true;
await Promise.all(clients);
await end(
  found.length > 0 ? 1 : 0,
  `OWNER: ${found.length} of ${DOWN_MS.length} lives took keys with a fencing token that is not above that of the life before`,
);
