import {SERVICE, playCase} from '../harness/deployment.mjs';
import {sleep} from '../harness/site.mjs';

const options = {
  zones: ['north', 'south', 'east'],
  grants: process.env.GRANTS === 'heartbeat' ? 'heartbeat' : 'rpc',
  workMs: () => 100 + 200 * Math.random(),
  deadlineMs: 2500,
} as const;

/** Time for which the store is away. */
const AWAY_MS = 1000;

await playCase(options, async deployment => {
  const {isTroubled, record, store, check, addMachine, startTraffic} =
    deployment;
  const stopTraffic = startTraffic(40);
  await sleep(6000);
  const mapText = () => {
    const item = store.read('fleet', `ranges.${SERVICE}`);
    return `revision ${item?.revision}: ${JSON.stringify(item?.spec)}`;
  };
  store.onWrite = ({kind, name, revision}) =>
    record.note(`store: ${kind}/${name} written, revision ${revision}`);
  // Planned work: an empty endpoint is added, and keys move to it.
  const fenceOf = () =>
    (store.read('fleet', `ranges.${SERVICE}`)?.spec as {fence: number}).fence;
  const fence = fenceOf();
  let copy = store.takeCopy();
  let copiedAt = Date.now();
  await addMachine('north');
  for (let round = 0; round < 12 && fenceOf() === fence; round++) {
    copy = store.takeCopy();
    copiedAt = Date.now();
    await sleep(1000);
  }
  record.note(`map that was copied: revision ${copy.revision}`);
  await sleep(2000);
  record.note(`map before the drill: ${mapText()}`);
  if (isTroubled) {
    store.isUp = false;
    record.note('store away');
    await sleep(AWAY_MS);
    store.restore(copy);
    store.isUp = true;
    const ageMs = Date.now() - copiedAt;
    record.note(`store back from a copy, ${ageMs} ms old; map ${mapText()}`);
  }
  // The operator writes its configuration again, and changes it at times.
  for (let round = 0; round < 8; round++) {
    const main = store.read('config', 'main')?.spec as {version: number};
    store.write('config', 'main', {...main, version: main.version + 3});
    // Planned work again: a further empty endpoint is added.
    if (round === 4) await addMachine('south');
    await sleep(4000);
    if (check.violations.length > 0) break;
  }
  record.note(`map at the end: ${mapText()}`);
  stopTraffic();
  await sleep(3000);
});
