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

/** A reader that takes nothing until it is told to go on. */
function createReader() {
  const taken: string[] = [];
  let held: (() => void) | undefined;
  let reads = false;
  const write: WriteBytes = (bytes, done) => {
    const take = () => {
      taken.push(bytes.toString());
      done(null, bytes.length);
    };
    if (reads) take();
    else held = take;
  };
  const goOn = () => {
    reads = true;
    held?.();
  };
  const lines = () =>
    taken
      .join('')
      .split('\n')
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as {event: number; lines?: number});
  return {write, goOn, lines};
}

test('what a stalled reader does not take waits in bounded memory', async t => {
  const reader = createReader();
  const bounds = {
    ...LOG_BOUNDS,
    linesPerSecond: Infinity,
    waitingBytes: 20_000,
  };
  const {log} = createBoundedLog('a', linesDropped, bounds, reader.write);
  log(reloaded, {path: 'first'});
  await pause(300);
  const logged = 5000;
  for (let line = 0; line < logged; line++) log(reloaded, {path: 'x'});
  await pause(1100);
  reader.goOn();
  await pause(100);
  log(reloaded, {path: 'last'});
  await pause(500);
  const lines = reader.lines();
  const left = lines
    .filter(({event}) => event === linesDropped.number)
    .reduce((sum, line) => sum + (line.lines ?? 0), 0);
  const written = lines.filter(({event}) => event === reloaded.number).length;
  t.is(written + left, logged + 2);
  t.true(written * 100 <= bounds.waitingBytes + 1000);
});

test('a second holds a number of lines, and the rest is counted', async t => {
  const reader = createReader();
  reader.goOn();
  const bounds = {...LOG_BOUNDS, debugPerSecond: 2, linesPerSecond: 5};
  const {log} = createBoundedLog('b', linesDropped, bounds, reader.write);
  const second = Math.floor(performance.now() / 1000);
  for (let line = 0; line < 50; line++) log(failedTask, {message: 'x'});
  await pause(1100);
  log(failedTask, {message: 'later'});
  await pause(400);
  const lines = reader.lines();
  const left = lines
    .filter(({event}) => event === linesDropped.number)
    .reduce((sum, line) => sum + (line.lines ?? 0), 0);
  const written = lines.filter(({event}) => event === failedTask.number).length;
  t.is(written + left, 51);
  // Two seconds if the loop above crossed a second, and the later one.
  const seconds = Math.floor(performance.now() / 1000) - second + 1;
  t.true(written <= 5 * seconds);
});

test('a pipe that nobody reads stalls no request', async t => {
  const path = fileURLToPath(new URL('chatty.js', import.meta.url));
  const child = spawn(process.execPath, [path], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  // Nothing reads the standard output, so its pipe fills up.
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
  // 30 requests log 5 MB; what waits is bounded, so memory does not follow.
  const grown = sizes[sizes.length - 1] - sizes[9];
  t.true(grown < 20 * 1024 * 1024, `grown by ${grown} bytes`);
});
