import {subscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import test from 'ava';
import {formatHop, signHop, type Hop} from '../../src/gateway/hop.js';
import {
  closeServers,
  createSigner,
  type AdmissionDecision,
} from '../../src/gateway/index.js';
import type {Address} from '../../src/model/index.js';
import type {PreviousHandover} from '../../src/routing/index.js';
import {
  callHttp,
  changeOwnership,
  configuration,
  rawRequest,
  sendRaw,
  service,
  startFleet,
  startServer,
  type Daemon,
  type HttpCall,
} from './fixture.js';

const GET: HttpCall = {method: 'GET', path: '/rota/a'};
const MIB = 1024 * 1024;

/** Most bytes of one body that a daemon may hold. */
const BUFFER_LIMIT_BYTES = MIB;

function forwarded(to: Daemon, fields: Partial<Hop>, secret: string): string {
  const hop = formatHop({
    receiver: to.member.process,
    sender: 'sender',
    sequence: 1,
    sentAt: Date.now(),
    deadlineMs: 5000,
    epoch: 1,
    forwardCount: 1,
    request: 'sender-1',
    caller: '127.0.0.1',
    ...fields,
  });
  const subject = {method: 'POST', target: '/rota/a', traceparent: ''};
  const signature = signHop(createSigner('fleet', [secret]), hop, subject);
  return rawRequest('POST /rota/a', [
    `vanillaspool-hop: ${hop}`,
    `vanillaspool-signature: ${signature}`,
    'Content-Length: 0',
  ]);
}

test('a forwarded request runs once, and only if it is signed for this process', async t => {
  let executions = 0;
  const upstream = await startServer((_request, response) => {
    executions += 1;
    response.end('ok');
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address],
  });
  const [owner] = fleet.daemons;
  const outcomeOf = async (bytes: string) => {
    const {text} = await sendRaw(owner.member.peers, bytes);
    return /vanillaspool-outcome: ([a-z-]+)/.exec(text)?.[1] ?? 'run';
  };
  t.is(await outcomeOf(forwarded(owner, {}, 'other secret')), 'not-run');
  t.is(
    await outcomeOf(forwarded(owner, {receiver: 'older'}, 'secret')),
    'not-run',
  );
  t.is(
    await outcomeOf(forwarded(owner, {forwardCount: 2}, 'secret')),
    'not-run',
  );
  t.is(await outcomeOf(rawRequest('POST /rota/a')), 'not-run');
  t.is(executions, 0);
  const once = forwarded(owner, {}, 'secret');
  t.is(await outcomeOf(once), 'run');
  t.is(await outcomeOf(once), 'unknown');
  t.is(executions, 1);
  await fleet.stop();
  await upstream.stop();
});

test('a refusal of a forwarded request names it, for the forwarder to know', async t => {
  const upstream = await startServer((_request, response) => {
    response.end('ok');
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address],
  });
  const [owner] = fleet.daemons;
  const bytes = forwarded(
    owner,
    {receiver: 'older', request: 'r-17'},
    'secret',
  );
  const {text} = await sendRaw(owner.member.peers, bytes);
  t.regex(text, /vanillaspool-outcome: not-run/);
  t.regex(text, /vanillaspool-request: r-17/);
  t.regex(text, /vanillaspool-reason: not-owner/);
  await fleet.stop();
  await upstream.stop();
});

/** Sockets of one daemon: from its caller and to where it sends. */
interface SocketPair {
  readonly inbound: () => net.Socket | undefined;
  readonly outbound: () => net.Socket | undefined;
}

/** Finds the sockets of a daemon that listens and sends to known ports. */
function trackSockets(server: net.Server, port: number): SocketPair {
  let inbound: net.Socket | undefined;
  let outbound: net.Socket | undefined;
  server.on('connection', (socket: net.Socket) => (inbound = socket));
  subscribe('undici:client:connected', message => {
    const {socket} = message as {readonly socket: net.Socket};
    if (socket.remotePort === port) outbound = socket;
  });
  return {inbound: () => inbound, outbound: () => outbound};
}

/** Returns the bytes that were read from one socket and not written to the other. */
function bufferedBytes(from?: net.Socket, to?: net.Socket): number {
  if (!from || !to) return 0;
  return from.bytesRead - ((to.bytesWritten ?? 0) - to.writableLength);
}

test('a large upload passes through with bounded buffers', async t => {
  const total = 300 * MIB;
  let received = 0;
  let mostHeld = 0;
  const observe = () => {
    for (const {inbound, outbound} of sides) {
      mostHeld = Math.max(mostHeld, bufferedBytes(inbound(), outbound()));
    }
  };
  const upstream = await startServer((request, response) => {
    request.on('data', (chunk: Buffer) => {
      received += chunk.length;
      observe();
      if (received % 16 !== 0) return;
      request.pause();
      setImmediate(() => request.resume());
    });
    request.on('end', () => response.end(String(received)));
  });
  const fleet = await startFleet({
    configuration: configuration([service({deadlineMs: 100_000})], {
      bodyBytes: total,
    }),
    upstreams: [upstream.address, upstream.address],
  });
  const [owner, entry] = fleet.daemons;
  const sides = [
    trackSockets(entry.servers[0], owner.member.peers.port),
    trackSockets(owner.servers[1], upstream.address.port),
  ];
  const answer = await upload(entry.address, total);
  t.is(answer, String(total));
  t.true(mostHeld > 0);
  t.true(mostHeld <= BUFFER_LIMIT_BYTES, `${mostHeld} bytes were held`);
  await fleet.stop();
  await upstream.stop();
});

/** Uploads a body as fast as it is taken and returns the answer's text. */
function upload(address: Address, total: number): Promise<string> {
  const {host, port} = address;
  const headers = {'Content-Length': total};
  const options = {host, port, method: 'POST', path: '/rota/a', headers};
  return new Promise((resolve, reject) => {
    const request = http.request({...options, agent: false}, response => {
      let text = '';
      response.on('data', chunk => (text += String(chunk)));
      response.on('end', () => resolve(text));
    });
    request.on('error', reject);
    const part = Buffer.alloc(MIB, 'a');
    let sent = 0;
    const send = () => {
      while (sent < total) {
        sent += part.length;
        if (!request.write(part)) return request.once('drain', send);
      }
      return request.end();
    };
    send();
  });
}

test('an answer that nobody reads is not read from the upstream either', async t => {
  const part = Buffer.alloc(MIB, 'a');
  let written = 0;
  const upstream = await startServer((_request, response) => {
    const send = () => {
      do written += part.length;
      while (response.write(part) && written < 300 * MIB);
    };
    response.on('drain', send);
    send();
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address, upstream.address],
  });
  const [owner, entry] = fleet.daemons;
  const sides = [
    trackSockets(entry.servers[0], owner.member.peers.port),
    trackSockets(owner.servers[1], upstream.address.port),
  ];
  const {host, port} = entry.address;
  const socket = net.connect(port, host);
  socket.pause();
  socket.write(rawRequest('GET /rota/a'));
  let before = -1;
  while (written !== before || written === 0) {
    before = written;
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  t.true(written < 300 * MIB);
  for (const {inbound, outbound} of sides) {
    const held = bufferedBytes(outbound(), inbound());
    t.true(held <= BUFFER_LIMIT_BYTES, `${held} bytes are held`);
  }
  socket.destroy();
  await fleet.stop();
  await upstream.stop();
});

test('a body beyond the limit is refused while it streams', async t => {
  const upstream = await startServer((request, response) => {
    request.resume().on('end', () => response.end('ok'));
    request.on('error', () => {});
  });
  const fleet = await startFleet({
    configuration: configuration([service()], {bodyBytes: 1000}),
    upstreams: [upstream.address],
  });
  const chunk = `3e8\r\n${'a'.repeat(1000)}\r\n`;
  const request = rawRequest(
    'POST /rota/a',
    ['Transfer-Encoding: chunked'],
    chunk + chunk,
  );
  const {text} = await sendRaw(fleet.daemons[0].address, request);
  t.regex(text, /^HTTP\/1.1 413 /);
  t.regex(text, /vanillaspool-outcome: unknown/);
  await fleet.stop();
  await upstream.stop();
});

test('a body that stops arriving is cut off', async t => {
  const upstream = await startServer((_request, response) => response.end());
  const fleet = await startFleet({
    configuration: configuration([service()], {bodyTimeoutMs: 50}),
    upstreams: [upstream.address],
  });
  const request = rawRequest('POST /rota/a', ['Content-Length: 4'], 'ab');
  const {text} = await sendRaw(fleet.daemons[0].address, request);
  t.regex(text, /^HTTP\/1.1 408 /);
  t.regex(text, /vanillaspool-outcome: not-run/);
  await fleet.stop();
  await upstream.stop();
});

test('headers that stop arriving are cut off, too long ones refused', async t => {
  const fleet = await startFleet({
    configuration: configuration([service()], {
      headerTimeoutMs: 50,
      headerBytes: 8192,
    }),
    upstreams: [{host: '127.0.71.1', port: 1}],
  });
  const {address} = fleet.daemons[0];
  const slow = await sendRaw(address, 'GET /rota/a HTTP/1.1\r\nHost: r');
  t.regex(slow.text, /^HTTP\/1.1 408 [^]*vanillaspool-outcome: not-run/);
  const long = rawRequest('GET /rota/a', [`X-Long: ${'a'.repeat(9000)}`]);
  const {text} = await sendRaw(address, long);
  t.regex(text, /^HTTP\/1.1 431 [^]*vanillaspool-outcome: not-run/);
  await fleet.stop();
});

test('a request that crosses the time-out of its connection is not run', async t => {
  let runs = 0;
  const upstream = await startServer((_request, response) => {
    runs += 1;
    response.end('ok');
  });
  const fleet = await startFleet({
    configuration: configuration([service()], {headerTimeoutMs: 50}),
    upstreams: [upstream.address],
  });
  const [{address, servers}] = fleet.daemons;
  const caller = net.connect(address.port, address.host);
  const [begin, ...rest] = rawRequest('POST /rota/a', [
    'Content-Length: 0',
  ]).split('\r\n');
  caller.write(`${begin}\r\n`);
  const [callers] = servers;
  callers.prependListener('clientError', () => caller.write(rest.join('\r\n')));
  let text = '';
  caller.on('data', part => (text += part.toString()));
  await once(caller, 'close');
  await new Promise(resolve => setTimeout(resolve, 200));
  t.regex(text, /^HTTP\/1.1 408 /);
  t.is(runs, 0);
  await fleet.stop();
  await upstream.stop();
});

test('a cancelled request is cancelled at the upstream', async t => {
  let arrive = () => {};
  let close = () => {};
  const arrived = new Promise<void>(resolve => (arrive = resolve));
  const closed = new Promise<void>(resolve => (close = resolve));
  const upstream = await startServer((_request, response) => {
    response.on('close', close);
    arrive();
  });
  const fleet = await startFleet({
    configuration: configuration([service({deadlineMs: 600_000})]),
    upstreams: [upstream.address, upstream.address],
  });
  const {host, port} = fleet.daemons[1].address;
  const socket = net.connect(port, host);
  socket.write(rawRequest('GET /rota/a'));
  await arrived;
  socket.destroy();
  await closed;
  t.pass();
  await fleet.stop();
  await upstream.stop();
});

test('pipelined requests run in order and are answered in order', async t => {
  const order: string[] = [];
  const upstream = await startServer((request, response) => {
    order.push(`begin ${request.url}`);
    const wait = request.url === '/rota/a' ? 30 : 0;
    setTimeout(() => {
      order.push(`end ${request.url}`);
      response.end(request.url);
    }, wait);
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address],
  });
  const first = 'POST /rota/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
  const second = rawRequest('GET /rota/b');
  const {text} = await sendRaw(fleet.daemons[0].address, first + second);
  t.deepEqual(order, [
    'begin /rota/a',
    'end /rota/a',
    'begin /rota/b',
    'end /rota/b',
  ]);
  t.regex(text, /200 OK[^]*\/rota\/a[^]*200 OK[^]*\/rota\/b/);
  await fleet.stop();
  await upstream.stop();
});

test('closing finishes what is in flight and cuts nothing off', async t => {
  const upstream = await startServer((request, response) => {
    request.resume();
    setTimeout(() => response.end('ok'), 40);
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address],
  });
  const [owner] = fleet.daemons;
  const agent = new http.Agent({keepAlive: true, maxSockets: 4});
  const send = () =>
    new Promise<boolean>(resolve => {
      const {host, port} = owner.address;
      const options = {host, port, path: '/rota/a', agent};
      const request = http.get(options, response => {
        response.resume().on('end', () => resolve(response.complete));
      });
      request.on('error', () => resolve(false));
    });
  const answers = Array.from({length: 20}, send);
  await Promise.race(answers);
  const closed = closeServers(
    owner.gateway,
    owner.servers,
    new Promise(() => {}),
  );
  t.deepEqual(
    await Promise.all(answers),
    answers.map(() => true),
  );
  await closed;
  t.is(owner.gateway.inFlight(), 0);
  t.true(owner.servers.every(server => !server.listening));
  await upstream.stop();
});

test('a request waits at the new owner until its term begins', async t => {
  const upstream = await startServer((request, response) => {
    response.end(String(request.headers['vanillaspool-epoch']));
  });
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address, upstream.address],
  });
  changeOwnership(fleet.ownership, {owner: undefined});
  const answer = callHttp(fleet.daemons[1].address, GET);
  await new Promise(resolve => setTimeout(resolve, 30));
  changeOwnership(fleet.ownership, {owner: 'daemon-1', epoch: 2});
  const got = await answer;
  t.is(got.kind === 'whole' && got.text, '2');
  await fleet.stop();
  await upstream.stop();
});

test('an answer that arrives after the term of an upstream without fencing is not passed on', async t => {
  let executions = 0;
  const fencing = 'ignored';
  const upstream = await startServer((_request, response) => {
    executions += 1;
    if (executions === 1) {
      changeOwnership(fleet.ownership, {owner: 'daemon-1', epoch: 2});
    }
    response.end(`answer ${executions}`);
  });
  const fleet = await startFleet({
    configuration: configuration([service({fencing})]),
    upstreams: [upstream.address, upstream.address],
  });
  const {address} = fleet.daemons[0];
  const read = await callHttp(address, GET);
  t.is(read.kind === 'whole' && read.text, 'answer 2');
  changeOwnership(fleet.ownership, {owner: 'daemon-0', epoch: 3});
  executions = 0;
  const write = await callHttp(address, {...GET, method: 'POST', body: 'a'});
  t.is(write.kind === 'whole' && write.status, 503);
  t.is(
    write.kind === 'whole' && write.headers['vanillaspool-outcome'],
    'unknown',
  );
  t.is(executions, 1);
  await fleet.stop();
  await upstream.stop();
});

test('the term is checked when the connection is ready, not before', async t => {
  let executions = 0;
  const upstream = await startServer((_request, response) => {
    executions += 1;
    response.end(String(executions));
  });
  let release = () => {};
  let ask = () => {};
  const asked = new Promise<void>(resolve => (ask = resolve));
  const admitted = new Promise<AdmissionDecision>(resolve => {
    release = () => resolve({kind: 'admitted', release: () => {}});
  });
  const fleet = await startFleet({
    configuration: configuration([service({deadlineMs: 2000})]),
    upstreams: [upstream.address],
    options: {
      admit: () => {
        ask();
        return admitted;
      },
    },
  });
  const call = {...GET, method: 'POST', body: 'a'};
  const answer = callHttp(fleet.daemons[0].address, call);
  await asked;
  changeOwnership(fleet.ownership, {owner: undefined});
  release();
  const got = await answer;
  t.is(got.kind === 'whole' && got.headers['vanillaspool-outcome'], 'not-run');
  t.is(executions, 0);
  await fleet.stop();
  await upstream.stop();
});

test('requests without a key go elsewhere when this instance is full', async t => {
  const servers = await Promise.all(
    [0, 1].map(n => startServer((_request, response) => response.end(`${n}`))),
  );
  let refused = 0;
  const fleet = await startFleet({
    configuration: configuration([service({key: undefined})]),
    upstreams: servers.map(server => server.address),
    options: {
      admit: () => {
        refused += 1;
        if (refused === 1) {
          return {kind: 'refused', reason: 'overloaded', retryAfterMs: 1};
        }
        return {kind: 'admitted', release: () => {}};
      },
    },
  });
  const got = await callHttp(fleet.daemons[0].address, {...GET, path: '/rota'});
  t.is(got.kind === 'whole' && got.text, '1');
  await fleet.stop();
  await Promise.all(servers.map(server => server.stop()));
});

test('a key stays at the old address until it is handed over and settled', async t => {
  const servers = await Promise.all(
    ['old', 'new'].map(n =>
      startServer((_request, response) => response.end(n)),
    ),
  );
  const [oldAddress, address] = servers.map(server => server.address);
  let previous: PreviousHandover | undefined;
  let settle = () => {};
  const handover = (share: number) => ({oldAddress, share, prefixes: []});
  let current = configuration([service({handover: handover(0)})]);
  const fleet = await startFleet({
    configuration: current,
    upstreams: [address],
    options: {
      configuration: () => current,
      previousHandover: () => previous,
      handoverChanged: () => new Promise(resolve => (settle = resolve)),
    },
  });
  const ask = async () => {
    const got = await callHttp(fleet.daemons[0].address, GET);
    return got.kind === 'whole' ? got.text : got.kind;
  };
  t.is(await ask(), 'old');
  previous = {handover: handover(0)};
  current = configuration([service({handover: handover(1)})]);
  const waiting = ask();
  const first = await Promise.race([
    waiting,
    new Promise(resolve => setTimeout(resolve, 60, 'waiting')),
  ]);
  t.is(first, 'waiting');
  previous = undefined;
  settle();
  t.is(await waiting, 'new');
  current = configuration([service({handover: handover(0)})]);
  t.is(await ask(), 'old');
  await fleet.stop();
  await Promise.all(servers.map(server => server.stop()));
});

test('a daemon that cannot be reached costs no request', async t => {
  const upstream = await startServer((_request, response) =>
    response.end('ok'),
  );
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [upstream.address, upstream.address, upstream.address],
  });
  fleet.ownership.assumedOwners = ['daemon-1', 'daemon-0'];
  await fleet.daemons[1].stop();
  const call = {...GET, method: 'POST', body: 'a'};
  const got = await callHttp(fleet.daemons[2].address, call);
  t.is(got.kind === 'whole' && got.text, 'ok');
  await fleet.stop();
  await upstream.stop();
});
