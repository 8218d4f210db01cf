import {createHmac} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  create,
  createFileRegistry,
  fromBinary,
  toBinary,
  type DescMessage,
} from '@bufbuild/protobuf';
import {
  FieldDescriptorProto_Label,
  FieldDescriptorProto_Type,
  FileDescriptorProtoSchema,
} from '@bufbuild/protobuf/wkt';
import type {Chunk, Member, Service} from '../src/model/index.js';
import {
  planChunk,
  planMoves,
  poolOf,
  createSketch,
  startMoves,
  type SliceLoad,
} from '../src/placement/index.js';
import {fitLine, median, type Point} from './fit.js';
import {drawPlot} from './plot.js';
import {seeded} from './random.js';
import {
  round,
  startRun,
  writeResultFile,
  writeResults,
  type Result,
} from './results.js';

const SEED = 1;

/** Repeats of each measurement; the median is kept. */
const REPEATS = 7;

const FLEETS = [50, 200, 600, 1200];
const SLICES = [1024, 4096, 8192, 16_384];
const SLICES_PER_CHUNK = 64;
const SECRET = 'a secret of thirty-two characters';

/**
 * Measures what a daemon's control work costs in pieces: the codec and
 * signature of a heartbeat, a UDP message, memory by member and slice, and
 * planning against the size of the fleet.
 *
 * @example
 * await run([]);
 */
export async function run(): Promise<void> {
  const started = startRun('npm run measure -- slopes', SEED);
  const rss = figure('process-rss', process.memoryUsage().rss / 2 ** 20, 'MiB');
  const plan = planTimes();
  const results = [
    rss,
    ...codecCosts(),
    ...recordSizes(),
    ...(await udpCosts()),
    ...memorySlopes(),
    ...plan,
    ...sketchCosts(),
  ];
  writeResults('slopes.jsonl', started, results);
  writeResultFile('slopes-plan.svg', plotPlans(plan));
}

/** Runs work many times and returns the median time of one, in microseconds. */
function timeUs(count: number, work: () => void): number {
  for (let i = 0; i < count; i++) work();
  const times = Array.from({length: REPEATS}, () => {
    const from = process.hrtime.bigint();
    for (let i = 0; i < count; i++) work();
    return Number(process.hrtime.bigint() - from) / 1000 / count;
  });
  return median(times);
}

function codecCosts(): readonly Result[] {
  const schema = heartbeatSchema();
  const message = create(schema, {
    instance: 'rota-display-1117',
    generation: 190,
    process: '01234567-89ab-cdef-0123-456789abcdef',
    sequence: 123_456_789n,
    witnesses: 17,
  });
  const bytes = toBinary(schema, message);
  const sign = () => createHmac('sha256', SECRET).update(bytes).digest();
  const encode = timeUs(5000, () => toBinary(schema, message));
  const decode = timeUs(5000, () => fromBinary(schema, bytes));
  const hmac = timeUs(5000, sign);
  return [
    figure('heartbeat-bytes', bytes.length + sign().length, 'bytes'),
    figure('heartbeat-encode', encode, 'us'),
    figure('heartbeat-decode', decode, 'us'),
    figure('heartbeat-hmac', hmac, 'us'),
  ];
}

/** Sizes of the records as JSON text on the platform. */
function recordSizes(): readonly Result[] {
  const bytes = (value: unknown) => Buffer.byteLength(JSON.stringify(value));
  const [chunk] = chunksOf(16_384);
  const configuration = {
    version: 4900,
    change: '01234567-89ab-cdef-0123-456789abcdef',
    author: 'operator',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    sites: ['newsroom', 'rental'].map(site => ({
      site,
      services: [1, 2, 3, 4].map(() => serviceOf(16_384)),
    })),
  };
  return [
    figure('member-bytes', bytes(fleet(1200)[1199]), 'bytes'),
    figure('chunk-bytes', bytes(chunk), 'bytes'),
    figure('slice-bytes', bytes(chunk.slices[0]), 'bytes'),
    figure('configuration-bytes', bytes(configuration), 'bytes'),
  ];
}

/** Builds the schema of a lease renewal with the fields it needs. */
function heartbeatSchema(): DescMessage {
  const {STRING, UINT32, UINT64} = FieldDescriptorProto_Type;
  const fields = [
    ['instance', STRING],
    ['generation', UINT32],
    ['process', STRING],
    ['sequence', UINT64],
    ['witnesses', UINT32],
  ] as const;
  const file = create(FileDescriptorProtoSchema, {
    name: 'heartbeat.proto',
    syntax: 'proto3',
    messageType: [
      {
        name: 'Heartbeat',
        field: fields.map(([name, type], i) => ({
          name,
          type,
          number: i + 1,
          label: FieldDescriptorProto_Label.OPTIONAL,
        })),
      },
    ],
  });
  const registry = createFileRegistry(file, () => undefined);
  const message = registry.getMessage('Heartbeat');
  if (!message) throw new Error('the registry has no Heartbeat');
  return message;
}

/** Measures the processor time of a message sent and received on loopback. */
async function udpCosts(): Promise<readonly Result[]> {
  const sender = await boundSocket();
  const receiver = await boundSocket();
  const payload = Buffer.alloc(100);
  const counts = [2000, 4000, 8000, 16_000];
  const points: Point[] = [];
  await exchange(sender, receiver, payload, 2000);
  for (const count of counts) {
    const times: number[] = [];
    for (let i = 0; i < REPEATS; i++) {
      const before = process.cpuUsage();
      await exchange(sender, receiver, payload, count);
      const used = process.cpuUsage(before);
      times.push(used.user + used.system);
    }
    points.push({x: count, y: median(times)});
  }
  sender.close();
  receiver.close();
  return fitted('udp-message', points, 'us', 'messages');
}

async function boundSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return socket;
}

/** Sends messages one after another, each answered by the receiver. */
async function exchange(
  sender: Socket,
  receiver: Socket,
  payload: Buffer,
  messages: number,
): Promise<void> {
  const pairs = messages / 2;
  await new Promise<void>(resolve => {
    let done = 0;
    const send = () =>
      sender.send(payload, receiver.address().port, '127.0.0.1');
    receiver.removeAllListeners('message');
    sender.removeAllListeners('message');
    receiver.on('message', (data, from) =>
      receiver.send(data, from.port, from.address),
    );
    sender.on('message', () => {
      if (++done < pairs) send();
      else resolve();
    });
    send();
  });
}

function memorySlopes(): readonly Result[] {
  const members = FLEETS.map(count => ({
    x: count,
    y: heapOf(() => poolOf(fleet(count))),
  }));
  const slices = SLICES.map(count => ({
    x: count,
    y: heapOf(() => chunksOf(count)),
  }));
  return [
    ...fitted('member-heap', members, 'bytes', 'members'),
    ...fitted('slice-heap', slices, 'bytes', 'slices'),
  ];
}

/** Returns the heap that a value holds, in bytes: the median of some builds. */
function heapOf(build: () => unknown): number {
  const collect = collector();
  build();
  const used = Array.from({length: REPEATS}, () => {
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = [build()];
    collect();
    const after = process.memoryUsage().heapUsed;
    return kept.length > 0 ? after - before : 0;
  });
  return median(used);
}

/** Returns the garbage collector of this process. */
function collector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

/** Chunks as a daemon keeps them after reading their JSON text. */
function chunksOf(slices: number): readonly Chunk[] {
  const members = fleet(1200);
  const service = serviceOf(slices);
  return Array.from({length: service.chunks}, (_, index) => {
    const numbers = Array.from(
      {length: SLICES_PER_CHUNK},
      (__, i) => index * SLICES_PER_CHUNK + i,
    );
    const chunk: Chunk = {
      service: service.name,
      index,
      slices: numbers.map(slice => ({
        slice,
        wantedFrom: 4,
        terms: [0, 1, 2].map(i => ({
          lease: {
            instance: members[(slice + 17 * i) % members.length].instance,
            generation: 3,
          },
          epoch: 4 + i,
        })),
      })),
    };
    return JSON.parse(JSON.stringify(chunk)) as Chunk;
  });
}

/** Times a steward's plan of one chunk and the moves of a whole service. */
function planTimes(): readonly Result[] {
  const idle: Point[] = [];
  const loss: Point[] = [];
  const moves: Point[] = [];
  for (const size of FLEETS) {
    const members = fleet(size);
    const service = serviceOf(16_384);
    const released = () => 0;
    const base = {service, index: 0, members, released};
    const chunk = planChunk({...base, chunk: undefined, ended: () => false});
    const [first] = chunk?.slices[0].terms ?? [];
    const lost = first.lease.instance;
    const quiet = {...base, chunk, ended: () => false};
    const hurt = {
      ...base,
      chunk,
      ended: (id: {instance: string}) => id.instance === lost,
    };
    idle.push({x: size, y: timeUs(20, () => planChunk(quiet))});
    loss.push({x: size, y: timeUs(20, () => planChunk(hurt))});
    moves.push({x: size, y: moveTime(members, 16_384)});
  }
  return [
    ...fitted('plan-chunk-idle', idle, 'us', 'members'),
    ...fitted('plan-chunk-loss', loss, 'us', 'members'),
    ...fitted('plan-moves', moves, 'us', 'members'),
  ];
}

function moveTime(members: readonly Member[], count: number): number {
  const random = seeded(SEED);
  const each = (members.length * 12 * 0.45) / count;
  const slices = Array.from({length: count}, (_, slice): SliceLoad => {
    const owner = members[slice % members.length].instance;
    return {slice, owner, load: each * 2 * random(), settled: true};
  });
  const weights = {imbalance: 1, churn: 1, unavailable: 4};
  const servingSince = () => -Infinity;
  const input = {now: 0, weights, members, servingSince, slices};
  return timeUs(3, () => planMoves(startMoves(0), input));
}

function sketchCosts(): readonly Result[] {
  const random = seeded(SEED);
  const sketch = createSketch(64);
  const keys = Array.from(
    {length: 10_000},
    () => `key-${Math.floor(1_000_000 * random() ** 4)}`,
  );
  let next = 0;
  const add = timeUs(10_000, () => {
    sketch.add(keys[next], 1);
    next = (next + 1) % keys.length;
  });
  return [figure('sketch-add', add, 'us')];
}

function figure(name: string, value: number, unit: string): Result {
  return {name, value: round(value, 3), unit};
}

/** The points of a measurement and the slope fitted to them. */
function fitted(
  name: string,
  points: readonly Point[],
  unit: string,
  per: string,
): readonly Result[] {
  const line = fitLine(points);
  return [
    ...points.map(({x, y}) => ({
      name: `${name}-at-${x}`,
      value: round(y),
      unit,
      of: {[per]: x},
    })),
    figure(`${name}-slope`, line.slope, `${unit} per ${per}`),
    figure(`${name}-intercept`, line.intercept, unit),
    figure(`${name}-r2`, line.r2, 'share'),
  ];
}

function plotPlans(results: readonly Result[]): string {
  const names = ['plan-chunk-idle', 'plan-chunk-loss', 'plan-moves'];
  const series = names.map(name => ({
    name,
    points: results
      .filter(r => r.name.startsWith(`${name}-at-`))
      .map(r => ({x: Number(r.of?.members), y: r.value})),
  }));
  return drawPlot({
    title: 'Time of a plan against the fleet',
    xLabel: 'members',
    yLabel: 'microseconds',
    series,
    logY: true,
  });
}

function fleet(size: number): readonly Member[] {
  return Array.from({length: size}, (_, i): Member => {
    const host = `10.${i % 6}.${Math.floor(i / 250)}.${i % 250}`;
    const witness = (w: number) => ({
      generation: 1,
      instance: `rota-display-${(i + 7 * w) % size}`,
      process: `01234567-89ab-cdef-0123-${String(i + w).padStart(12, '0')}`,
      address: {host: `10.${w}.0.${i % 250}`, port: 7001},
      domain: `d${w}`,
    });
    const member: Member = {
      instance: `rota-display-${i}`,
      generation: 3,
      process: `01234567-89ab-cdef-0123-${String(i).padStart(12, '0')}`,
      state: 'serving',
      service: 'rota-display',
      site: 'newsroom',
      region: `r${i % 2}`,
      domain: `d${i % 6}`,
      callers: {host, port: 8080},
      peers: {host, port: 7001},
      control: {host, port: 7002},
      slots: 12,
      connections: 130,
      witnesses: {number: 3, witnesses: [0, 1, 2].map(witness)},
    };
    return JSON.parse(JSON.stringify(member)) as Member;
  });
}

function serviceOf(slices: number): Service {
  return {
    name: 'rota-display',
    pathPrefix: '/rota/',
    key: {path: '/rota/{key}'},
    slices,
    chunks: slices / SLICES_PER_CHUNK,
    priority: 1,
    deadlineMs: 1000,
    fencing: 'enforced',
    successors: 2,
  };
}
