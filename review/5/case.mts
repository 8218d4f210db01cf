import http from 'node:http';
import net from 'node:net';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  createMachine,
  startDaemon,
  stopDaemons,
  untilReady,
  type Machine,
} from '../harness/daemon.mjs';
import {openRecord} from '../harness/record.mjs';
import {configurationOf, sleep} from '../harness/site.mjs';
import {startStore} from '../harness/store.mjs';

const SERVICE = 'kafi81c';
const ROUTE = {host: 'jepu9.example', prefix: '/fiti832/'};
const PARTS = 24;
const PART = 'x'.repeat(1000);
const PART_INTERVAL_MS = 25;
const KILLS = 6;

const isTroubled = process.env.TROUBLE !== '0';
const record = openRecord(process.env.RECORD ?? 'record.txt');
const folder = mkdtempSync(join(tmpdir(), 'review-'));
const machines: Machine[] = [];
let count = 0;
let whole = 0;
const violations: string[] = [];

/** An endpoint whose answers have no length and end with their connection. */
function startPlainEndpoint({app, zone, control}: Machine, id: string): void {
  const [host, port] = app.split(':');
  const server = http.createServer((request, response) => {
    const requestId = String(request.headers['x-vanillaspool-request-id']);
    record.note(`${id} runs ${requestId}`);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      Connection: 'close',
      'X-Vanillaspool-Request-Id': requestId,
      'X-Vanillaspool-Response-Signature': `s-${requestId}`,
    });
    let sent = 0;
    const timer = setInterval(() => {
      response.write(PART);
      if ((sent += 1) < PARTS) return;
      clearInterval(timer);
      response.end();
    }, PART_INTERVAL_MS);
    response.once('close', () => clearInterval(timer));
  });
  server.listen(Number(port), host);
  const born = Date.now();
  let sequence = 0;
  const beat = () =>
    fetch(`http://${control}/-/instances/${id}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        ...{service: SERVICE, address: app, zone, version: 'v1', slots: 18},
        ...{state: 'ready', cold_left_s: 0, seq: (sequence += 1), born},
      }),
    }).catch(() => undefined);
  void beat();
  setInterval(beat, 870);
}

/** Sends a request on a connection of its own and judges the answer. */
function sendOne(to: string): void {
  const id = `r${(count += 1)}`;
  const [host, port] = to.split(':');
  const socket = net.connect({host, port: Number(port)});
  const parts: Buffer[] = [];
  record.note(`sent ${id} to ${to}`);
  socket.write(
    `GET ${ROUTE.prefix}2f HTTP/1.1\r\nHost: ${ROUTE.host}\r\n` +
      `X-Vanillaspool-Request-Id: ${id}\r\n` +
      'X-Vanillaspool-Request-Deadline: 2500\r\n\r\n',
  );
  socket.on('data', part => parts.push(part));
  socket.on('error', ({message}) => record.note(`${id}: ${message}`));
  socket.setTimeout(4000, () => socket.destroy());
  socket.on('end', () => {
    // A connection that was reset has no peer address any more.
    if (socket.remoteAddress === undefined) return;
    const text = Buffer.concat(parts).toString('latin1');
    const headEnd = text.indexOf('\r\n\r\n');
    const head = text.slice(0, headEnd).toLowerCase();
    if (headEnd < 0 || !head.startsWith('http/1.1 200')) return;
    const body = text.slice(headEnd + 4);
    const isFramed = /content-length|transfer-encoding/.test(head);
    const isSigned = head.includes('x-vanillaspool-response-signature');
    record.note(`${id}: 200, ${body.length} bytes, end of the connection`);
    if (body.length === PARTS * PART.length) whole += 1;
    else if (!isFramed && isSigned) {
      violations.push(
        `${id} from ${to}: a success of ${body.length} of ${PARTS * PART.length} bytes, ended without a reset`,
      );
      record.note(`BROKEN: ${violations.at(-1)}`);
    }
  });
}

async function play(): Promise<number> {
  const store = await startStore();
  const route = {name: 'r-get', ...ROUTE, service: SERVICE, timeoutS: 2.4};
  const services = [{name: SERVICE, sharded: false}];
  const routes = [{...route, kind: 'idempotent'} as const];
  store.write('config', 'main', configurationOf(7, services, routes));
  for (const zone of ['north', 'south', 'east']) {
    const place = {name: `sidecar-${zone}-1`, zone, service: SERVICE};
    const machine = await createMachine({
      ...place,
      ...{store: store.address, grants: 'rpc', folder},
    });
    machines.push(machine);
    startDaemon(machine);
  }
  await Promise.all(machines.map(machine => untilReady(machine)));
  machines.forEach((machine, index) =>
    startPlainEndpoint(machine, `i-${index + 1}`),
  );
  await sleep(4000);
  const timers = machines.map(({callers}) =>
    setInterval(() => sendOne(callers), 100),
  );
  for (let turn = 0; turn < KILLS; turn++) {
    await sleep(2500);
    const machine = machines[turn % machines.length];
    if (!isTroubled) continue;
    record.note(`SIGKILL ${machine.name}`);
    machine.process?.kill('SIGKILL');
    await sleep(500);
    startDaemon(machine);
    await untilReady(machine);
  }
  await sleep(1000);
  timers.forEach(clearInterval);
  await sleep(3000);
  const summary = `${count} requests, ${whole} whole successes; MIXED broken ${violations.length} times`;
  record.note(summary);
  console.log(summary);
  violations.slice(0, 5).forEach(text => console.log(text));
  if (whole < 50) return 2;
  return violations.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  record.note(`could not run: ${(error as Error).stack}`);
  console.error(error);
} finally {
  await stopDaemons(machines);
  record.close();
  rmSync(folder, {recursive: true, force: true});
}
process.exit(code);
