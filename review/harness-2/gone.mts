/**
 * A client that leaves while its upload waits for its turn is not noticed, and
 * the upload reaches an endpoint long after.
 */
import net from 'node:net';
import {HOST, IS_TROUBLED, newId, now, sleep, startFleet} from './fleet.mjs';

const LOADER = {
  name: 'season-loader',
  keyed: false,
  count: 2,
  slots: 4,
  workMs: 1200,
};
const UPLOAD = {
  name: 'season-upload',
  prefix: '/upload/',
  kind: 'upload',
  service: LOADER.name,
  timeoutS: 6,
  targetS: 1.3,
} as const;
const UPLOAD_BYTES = Number(process.env.UPLOAD_BYTES ?? 1_500_000);
const DEADLINE_MS = 8000;

const folder = process.argv[2];
const fleet = await startFleet(folder, [LOADER], [UPLOAD]);
const {machines, note, end} = fleet;
await sleep(4000);

/** Share of the clients that leave, and after which time, in milliseconds. */
const LEAVING_SHARE = 0.3;
const LEAVES_AFTER_MS = 250;

/** When each client that left closed its connection, in Unix milliseconds. */
const leftAt = new Map<string, number>();
const outcome = {uploads: 0, served: 0, refused: 0, left: 0};
let count = 0;

async function runClient(address: string) {
  const [host, port] = address.split(':');
  const id = newId();
  outcome.uploads += 1;
  count += 1;
  const isLeaving = IS_TROUBLED && count % 10 < LEAVING_SHARE * 10;
  const socket = net.connect({host, port: Number(port)});
  let text = '';
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  socket.on('error', () => {});
  const closed = new Promise<void>(resolve => socket.once('close', resolve));
  await new Promise<void>(resolve => socket.once('connect', resolve));
  const body = Buffer.alloc(UPLOAD_BYTES, 'x');
  socket.write(
    `POST /upload/2f HTTP/1.1\r\nHost: ${HOST}\r\n` +
      `X-Vanillaspool-Request-Id: ${id}\r\nConnection: close\r\n` +
      `X-Vanillaspool-Request-Deadline: ${DEADLINE_MS}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n`,
  );
  socket.write(body);
  const sentAt = now();
  const timer = setTimeout(
    () => {
      if (isLeaving && text === '') {
        leftAt.set(id, Date.now());
        outcome.left += 1;
        note('client left', {id, sentAt, written: socket.bytesWritten});
      }
      socket.destroy();
    },
    isLeaving ? LEAVES_AFTER_MS : DEADLINE_MS,
  );
  await closed;
  clearTimeout(timer);
  if (text.startsWith('HTTP/1.1 2')) outcome.served += 1;
  if (text.startsWith('HTTP/1.1 503')) outcome.refused += 1;
  if (!isLeaving) note('upload', {id, sentAt, status: text.slice(9, 12)});
}

/** "More than a few": so many are allowed. */
const FEW = 10;

/** Uploads in a wave: twice as many as run at a time. */
const WAVE = 2 * LOADER.slots * LOADER.count;
const WAVES = 12;
const WAVE_S = 3;

const clients: Promise<void>[] = [];
for (let wave = 0; wave < WAVES; wave++) {
  note('uploads begin', {count: WAVE});
  for (let index = 0; index < WAVE; index++) {
    const {callers} = machines[index % machines.length];
    clients.push(runClient(callers));
    await sleep(10);
  }
  await sleep(WAVE_S * 1000);
}
await Promise.all(clients);
await sleep(3000);
const late = machines
  .flatMap(({endpoint}) => endpoint.runs)
  .map(({id, at, bodyBytes}) => ({
    id,
    afterMs: at - (leftAt.get(id) ?? Infinity),
    bodyBytes,
  }))
  .filter(({afterMs}) => afterMs > 500);
for (const run of late) note('reached an endpoint after its client left', run);
note('outcome', {...outcome, late: late.length});
await end(
  late.length > FEW ? 1 : 0,
  `GONE: ${late.length} uploads reached an endpoint more than 0.5 s after their clients had closed the connection (${outcome.left} of ${outcome.uploads} clients left)`,
);
