import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import test from 'ava';
import {
  configuration,
  rawRequest,
  sendRaw,
  service,
  startFleet,
  startRawUpstream,
  type Fleet,
} from './fixture.js';

/** One shape of exchange, whose whole session is compared with a file. */
interface Session {
  readonly name: string;
  /** Requests, each on a connection of its own. */
  readonly requests: readonly string[];
  /** Answers of the upstream to its requests in turn, then the last again. */
  readonly answers?: readonly UpstreamAction[];
  /** Daemon that the caller asks; 0 is the owner's. */
  readonly daemonIndex?: number;
  readonly prepare?: (fleet: Fleet) => void;
}

/** Bytes to write, or what to do instead. */
type UpstreamAction = string | 'close' | 'never';

const OK = answer('200 OK', ['Content-Length: 2'], 'ok');

function answer(line: string, headers: readonly string[], body = ''): string {
  return [`HTTP/1.1 ${line}`, ...headers, '', body].join('\r\n');
}

const GET = rawRequest('GET /rota/night-desk?week=3');
const POST = rawRequest('POST /rota/swap', ['Content-Length: 4'], 'swap');

const SESSIONS: readonly Session[] = [
  {name: 'get-at-owner', requests: [GET], answers: [OK]},
  {name: 'get-forwarded', requests: [GET], answers: [OK], daemonIndex: 1},
  {name: 'post-forwarded', requests: [POST], answers: [OK], daemonIndex: 1},
  {
    name: 'trailers-forwarded',
    requests: [GET],
    answers: [
      answer(
        '200 OK',
        ['Transfer-Encoding: chunked'],
        '2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n',
      ),
    ],
    daemonIndex: 1,
  },
  {
    name: 'head',
    requests: [rawRequest('HEAD /rota/night-desk')],
    answers: [answer('200 OK', ['Content-Length: 512'])],
    daemonIndex: 1,
  },
  {name: 'no-content', requests: [GET], answers: [answer('204 None', [])]},
  {
    name: 'not-modified',
    requests: [GET],
    answers: [answer('304 Not Modified', ['Content-Length: 512', 'ETag: "1"'])],
    daemonIndex: 1,
  },
  {
    name: 'early-hints',
    requests: [GET],
    answers: [answer('103 Early Hints', ['Link: </a>; rel=preload']) + OK],
  },
  {
    name: 'short-answer',
    requests: [GET],
    answers: [answer('200 OK', ['Content-Length: 9'], 'short') + '\0close'],
  },
  {
    name: 'short-chunked-forwarded',
    requests: [GET],
    answers: [
      answer('200 OK', ['Transfer-Encoding: chunked'], '5\r\nshort\r\n') +
        '\0close',
    ],
    daemonIndex: 1,
  },
  {name: 'post-reset', requests: [POST], answers: ['close'], daemonIndex: 1},
  {name: 'get-reset-retried', requests: [GET], answers: ['close', OK]},
  {
    name: 'fenced-then-run',
    requests: [POST],
    answers: [
      answer('409 Conflict', [
        'vanillaspool-fenced: true',
        'Content-Length: 0',
      ]),
      OK,
    ],
  },
  {
    name: 'shed',
    requests: [POST],
    answers: [
      answer('503 Busy', [
        'vanillaspool-shed: true',
        'Retry-After: 3',
        'Content-Length: 0',
      ]),
    ],
    daemonIndex: 1,
  },
  {name: 'deadline-passed', requests: [withDeadline(3000)], answers: ['never']},
  {
    name: 'answer-to-another-request',
    requests: [POST],
    answers: [
      answer('200 OK', ['vanillaspool-request: other', 'Content-Length: 0']),
    ],
  },
  {
    name: 'own-headers-of-upstream-dropped',
    requests: [GET],
    answers: [
      answer('200 OK', [
        'vanillaspool-outcome: not-run',
        'vanillaspool-owner: 1.2.3.4:5',
        'Connection: X-Hop',
        'X-Hop: 1',
        'Content-Length: 0',
      ]),
    ],
    daemonIndex: 1,
  },
  {
    name: 'own-headers-of-caller-dropped',
    requests: [
      rawRequest('GET /rota/night-desk', [
        'vanillaspool-epoch: 99',
        'vanillaspool-hop: forged',
        'vanillaspool-signature: forged',
        'Connection: X-Hop',
        'X-Hop: 1',
        'TE: trailers',
        'X-Kept: 1',
      ]),
    ],
    answers: [OK],
    daemonIndex: 1,
  },
  {
    name: 'not-owner-first',
    requests: [POST],
    answers: [OK],
    daemonIndex: 2,
    prepare: fleet => {
      fleet.ownership.assumedOwners = ['daemon-1', 'daemon-0'];
      fleet.ownership.falseOwners.clear();
    },
  },
  {
    name: 'idempotency-key-repeated',
    requests: [1, 2].map(() =>
      rawRequest(
        'POST /rota/swap',
        ['Idempotency-Key: k1', 'Content-Length: 4'],
        'swap',
      ),
    ),
    answers: [OK, answer('500 Twice', ['Content-Length: 0'])],
    daemonIndex: 1,
  },
  {
    name: 'expect-continue',
    requests: [
      rawRequest(
        'POST /rota/swap',
        ['Expect: 100-continue', 'Content-Length: 4'],
        'swap',
      ),
    ],
    answers: [OK],
  },
  {
    name: 'refused-before-it-runs',
    requests: [
      rawRequest('GET /rota/a%2Fb'),
      rawRequest('GET /rota/'),
      rawRequest('GET /rota/%ff'),
      rawRequest('GET /rota/%'),
      rawRequest('GET /rota/../swaps/a'),
      rawRequest('GET /rota/%2e%2e/a'),
      rawRequest('GET /vanillaspool.Peer/Renew'),
      rawRequest('GET /elsewhere'),
      rawRequest('GET /rota/a', ['vanillaspool-deadline: soon']),
      rawRequest('POST /rota/a', ['Content-Length: 2000000']),
      rawRequest('GET /rota/a', ['Host: other']),
      'GET /rota/a HTTP/1.1\r\nConnection: close\r\n\r\n',
    ],
  },
  {
    name: 'smuggling-shapes',
    requests: [
      ['Content-Length: 4', 'Transfer-Encoding: chunked'],
      ['Transfer-Encoding: chunked', 'Content-Length: 4'],
      ['Content-Length: 4', 'Content-Length: 5'],
      ['Content-Length: 4', 'Content-Length: 4'],
      ['Content-Length: +4'],
      ['Content-Length: 4, 4'],
      ['Transfer-Encoding: gzip, chunked'],
      ['Transfer-Encoding : chunked'],
      ['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'],
      ['X-A: 1', ' Content-Length: 4'],
      ['X-A: 1\rContent-Length: 4'],
    ].map(headers =>
      rawRequest('POST /rota/a', headers, '0\r\n\r\nGET /x HTTP/1.1\r\n\r\n'),
    ),
    answers: [OK],
  },
];

function withDeadline(ms: number): string {
  return rawRequest('GET /rota/a', [`vanillaspool-deadline: ${ms}`]);
}

/** Writes an answer; the mark `\0close` stands for closing the connection. */
function writeAnswer(socket: Socket, bytes: UpstreamAction): void {
  if (bytes === 'never') return;
  if (bytes === 'close') {
    socket.destroy();
    return;
  }
  const [whole, close] = bytes.split('\0');
  socket.write(whole, 'latin1');
  if (close) socket.end();
}

/** Tells whether a whole request has arrived. */
function isComplete(received: string): boolean {
  const end = received.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const length = /content-length: (\d+)/i.exec(received);
  if (/transfer-encoding/i.test(received))
    return received.includes('0\r\n\r\n');
  return received.length >= end + 4 + Number(length?.[1] ?? 0);
}

async function runSession(shape: Session): Promise<string> {
  const seen: string[] = [];
  const upstream = await startRawUpstream((socket, received) => {
    if (!isComplete(received)) return false;
    const answers = shape.answers ?? [OK];
    const bytes = answers[Math.min(seen.length, answers.length - 1)];
    seen.push(received);
    writeAnswer(socket, bytes);
    return true;
  });
  const {address} = upstream;
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: [address, address, address],
  });
  shape.prepare?.(fleet);
  const lines: string[] = [];
  for (const request of shape.requests) {
    const caller = await sendRaw(
      fleet.daemons[shape.daemonIndex ?? 0].address,
      request,
    );
    lines.push(section('caller sends', request));
    lines.push(section('caller receives', caller.text));
    if (caller.reset) lines.push(section('caller', 'connection reset'));
  }
  lines.push(...seen.map(bytes => section('upstream received', bytes)));
  for (const daemon of fleet.daemons) {
    const {instance, events, spans} = daemon;
    if (events.length > 0) {
      lines.push(section(`events of ${instance}`, events.join('\n')));
    }
    if (spans.length > 0) {
      lines.push(section(`spans of ${instance}`, spans.join('\n')));
    }
  }
  await fleet.stop();
  await upstream.stop();
  return lines.join('');
}

/** Formats one part of a session, with what varies between runs replaced. */
function section(title: string, text: string): string {
  const fixed = text
    .replace(/^Date: .*?(?=\r?$)/gim, 'Date: *')
    .replace(/(vanillaspool-deadline: )\d+/g, '$1*')
    .replace(/\r\n/g, '\n')
    .replace(/\r/g, '\\r');
  return `== ${title}\n${fixed.replace(/\n*$/, '\n')}`;
}

for (const shape of SESSIONS) {
  test(`session ${shape.name}`, async t => {
    const session = await runSession(shape);
    const file = `test/golden/gateway/${shape.name}.txt`;
    if (process.env.UPDATE_GOLDEN || !existsSync(file)) {
      t.truthy(process.env.UPDATE_GOLDEN, `${file} does not exist`);
      writeFileSync(file, session);
    }
    t.is(session, readFileSync(file, 'utf8'));
  });
}
