import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import {LOG_BOUNDS, createBoundedLog} from '../../src/telemetry/index.js';

/** Lines logged for each request: far more than a pipe holds. */
const LINES_PER_REQUEST = 500;

// A server that logs to standard output, and tells its port on standard error.
const {log} = createBoundedLog('chatty', SIDECAR_EVENTS.linesDropped, {
  ...LOG_BOUNDS,
  linesPerSecond: Infinity,
});
const server = http.createServer((_, response) => {
  for (let line = 0; line < LINES_PER_REQUEST; line++) {
    log(SIDECAR_EVENTS.reloaded, {path: 'x'.repeat(200)});
  }
  response.end(String(Math.round(process.memoryUsage().rss)));
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  process.stderr.write(`${port}\n`);
});
