import test from 'ava';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {SIDECAR_EVENTS} from '../../src/sidecar/index.js';
import {
  LOG_BOUNDS,
  createBoundedLog,
  type WriteBytes,
} from '../../src/telemetry/index.js';

const {linesDropped, reloaded, taskFailed: failedTask} = SIDECAR_EVENTS;

const pause = (timeMs: number) =>
  new Promise(resolve => setTimeout(resolve, timeMs));

/** Creates a log reader that is stalled until `resume` is called. */
function createReader() {
  const received: string[] = [];
  let pending: (() => void) | undefined;
  let isReading = false;
  const write: WriteBytes = (bytes, done) => {
    const receive = () => {
      received.push(bytes.toString());
      done(null, bytes.length);
    };
    if (isReading) receive();
    else pending = receive;
  };
  const resume = () => {
    isReading = true;
    pending?.();
  };
  const lines = () =>
    received
      .join('')
      .split('\n')
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as {event: number; lines?: number});
  return {write, resume, lines};
}

test('lines for a stalled reader are buffered in bounded memory', async t => {
  const reader = createReader();
  const bounds = {
    ...LOG_BOUNDS,
    linesPerSecond: Infinity,
    bufferedBytes: 20_000,
  };
  const {log} = createBoundedLog('a', linesDropped, bounds, reader.write);
  log(reloaded, {path: 'first'});
  await pause(300);
  const logged = 5000;
  for (let line = 0; line < logged; line++) log(reloaded, {path: 'x'});
  await pause(1100);
  reader.resume();
  await pause(100);
  log(reloaded, {path: 'last'});
  await pause(500);
  const lines = reader.lines();
  const dropped = lines
    .filter(({event}) => event === linesDropped.number)
    .reduce((sum, line) => sum + (line.lines ?? 0), 0);
  const written = lines.filter(({event}) => event === reloaded.number).length;
  t.is(written + dropped, logged + 2);
  t.true(written * 100 <= bounds.bufferedBytes + 1000);
});

test('lines beyond the limit per second are dropped and counted', async t => {
  const reader = createReader();
  reader.resume();
  const bounds = {...LOG_BOUNDS, debugPerSecond: 2, linesPerSecond: 5};
  const {log} = createBoundedLog('b', linesDropped, bounds, reader.write);
  const second = Math.floor(performance.now() / 1000);
  for (let line = 0; line < 50; line++) log(failedTask, {message: 'x'});
  await pause(1100);
  log(failedTask, {message: 'later'});
  await pause(400);
  const lines = reader.lines();
  const dropped = lines
    .filter(({event}) => event === linesDropped.number)
    .reduce((sum, line) => sum + (line.lines ?? 0), 0);
  const written = lines.filter(({event}) => event === failedTask.number).length;
  t.is(written + dropped, 51);
  // Two seconds if the loop crossed a second boundary, plus the second of the
  // later line.
  const seconds = Math.floor(performance.now() / 1000) - second + 1;
  t.true(written <= 5 * seconds);
});

test('an unread log pipe blocks no request', async t => {
  const path = fileURLToPath(new URL('log-server.js', import.meta.url));
  const child = spawn(process.execPath, [path], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  // Standard output is not read, so its pipe fills up.
  child.stdout.pause();
  const [port] = (await once(child.stderr, 'data')) as [Buffer];
  const url = `http://127.0.0.1:${Number(port.toString())}/`;
  const sizes: number[] = [];
  for (let turn = 0; turn < 30; turn++) {
    const {statusCode, body} = await request(url, {
      headersTimeout: 2000,
      bodyTimeout: 2000,
    });
    t.is(statusCode, 200);
    sizes.push(Number(await body.text()));
    await pause(20);
  }
  // 30 requests log 5 MB; the buffer is bounded, so memory does not grow with
  // them.
  const grown = sizes[sizes.length - 1] - sizes[9];
  t.true(grown < 20 * 1024 * 1024, `resident memory grew by ${grown} bytes`);
});
