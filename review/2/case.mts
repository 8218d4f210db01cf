import {playCase} from '../harness/deployment.mjs';
import {sleep} from '../harness/site.mjs';

const options = {
  zones: ['north', 'south', 'east'],
  grants: process.env.GRANTS === 'rpc' ? 'rpc' : 'heartbeat',
  workMs: () => 60 + 120 * Math.random(),
  deadlineMs: 2500,
} as const;

await playCase(options, async ({isTroubled, record, machines, startTraffic}) => {
  const stopTraffic = startTraffic(20);
  await sleep(10_000);
  if (isTroubled) {
    const [{control, app, zone}] = machines;
    // A liveness report of another writer: its service is not named anywhere.
    const report = {
      service: 'nosuch',
      address: app,
      zone,
      version: 'v1',
      slots: 18,
      state: 'ready',
      cold_left_s: 0,
      seq: 1,
      born: Date.now(),
    };
    const answer = await fetch(`http://${control}/-/instances/i-other`, {
      method: 'PUT',
      body: JSON.stringify(report),
      headers: {'content-type': 'application/json'},
    });
    record.note(`report of another writer to ${control}: ${answer.status}`);
  }
  await sleep(15_000);
  stopTraffic();
  await sleep(3000);
});
