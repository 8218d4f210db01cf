// Measures the processor time per log line, written and discarded. Run it with
// node tools/log-cost.mjs > /dev/null
import {SIDECAR_EVENTS} from '../build/src/sidecar/index.js';
import {RELAY_EVENTS} from '../build/src/relay/index.js';
import {LOG_BOUNDS, createBoundedLog} from '../build/src/telemetry/index.js';

const LINES = 200_000;
const FIELDS = {
  request: '0fa832a4ea448ba6',
  status: 200,
  service: 'stock',
  route: 'view',
  timeMs: 118,
};

/** Returns the processor time per log line, in microseconds. */
async function measure(bounds) {
  const {log} = createBoundedLog('cost', SIDECAR_EVENTS.linesDropped, bounds);
  const before = process.cpuUsage();
  for (let line = 0; line < LINES; line++) {
    log(RELAY_EVENTS.served, FIELDS);
    // Yields so that batches are written, as they are between requests.
    if (line % 500 === 0) await new Promise(resolve => setTimeout(resolve, 1));
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / LINES;
}

const written = await measure({
  debugPerSecond: Infinity,
  linesPerSecond: Infinity,
  waitingBytes: Infinity,
});
const left = await measure({...LOG_BOUNDS, debugPerSecond: 0});
console.error(`a line written: ${written.toFixed(2)} microseconds`);
console.error(`a line left out: ${left.toFixed(2)} microseconds`);
