import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** An object as the store keeps it. */
export interface Item {
  readonly kind: string;
  readonly name: string;
  readonly revision: number;
  readonly createRevision: number;
  readonly spec: unknown;
}

interface Event {
  readonly item: Item;
  readonly deleted: boolean;
}

/** State of the store that a copy holds. */
interface Copy {
  readonly items: ReadonlyMap<string, Item>;
  readonly events: readonly Event[];
  readonly revision: number;
}

/** A small stand-in for the platform's metadata store. */
export interface Store {
  readonly address: string;
  /** Writes an object as the operator does. */
  readonly write: (kind: string, name: string, spec: unknown) => void;
  readonly read: (kind: string, name: string) => Item | undefined;
  readonly revision: () => number;
  /** Does not answer until it is set to true again. */
  isUp: boolean;
  readonly takeCopy: () => Copy;
  /** Replaces the whole content by a copy, and raises the era. */
  readonly restore: (copy: Copy) => void;
  /** Called after each write of a daemon. */
  onWrite: (item: Item) => void;
  readonly close: () => void;
}

/** Changes that a watch may still ask for. */
const HISTORY = 500;

const keyOf = (kind: string, name: string) => `${kind}/${name}`;

function wireOf({name, revision, createRevision, spec}: Item) {
  return {
    metadata: {
      name,
      revision,
      create_revision: createRevision,
      finalizers: [],
      deletion_timestamp: false,
    },
    spec,
    status: null,
  };
}

/** Starts a store on the loopback address. */
export async function startStore(): Promise<Store> {
  let items = new Map<string, Item>();
  let events: Event[] = [];
  let revision = 1;
  let era = 1;
  let waiters: (() => void)[] = [];
  const sockets = new Set<import('node:stream').Duplex>();

  const notify = () => {
    const woken = waiters;
    waiters = [];
    for (const wake of woken) wake();
  };
  const addEvent = (event: Event) => {
    events = [...events.slice(-HISTORY), event];
    notify();
  };
  const put = (kind: string, name: string, spec: unknown): Item => {
    const known = items.get(keyOf(kind, name));
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec))
      return known;
    revision += 1;
    const createRevision = known?.createRevision ?? revision;
    const item = {kind, name, revision, createRevision, spec};
    items.set(keyOf(kind, name), item);
    addEvent({item, deleted: false});
    return item;
  };
  const remove = (known: Item) => {
    items.delete(keyOf(known.kind, known.name));
    revision += 1;
    addEvent({item: {...known, revision}, deleted: true});
  };

  const watch = async (kind: string, from: number, waitMs: number) => {
    const startedEra = era;
    const until = Date.now() + waitMs;
    for (;;) {
      if (era !== startedEra || from > revision) return {status: 410, body: {}};
      const found = events.filter(
        ({item}) => item.kind === kind && item.revision > from,
      );
      const leftMs = until - Date.now();
      if (found.length > 0 || leftMs <= 0) {
        const list = found.map(({item, deleted}) => ({
          object: wireOf(item),
          deleted,
        }));
        return {status: 200, body: {events: list, at: revision}};
      }
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, leftMs);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  };

  const handle = async (
    method: string,
    url: URL,
    body: any,
  ): Promise<{status: number; body: unknown}> => {
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    if (method === 'GET' && name === undefined) {
      const from = url.searchParams.get('watch');
      if (from !== null) {
        const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
        return watch(kind, Number(from), waitMs);
      }
      const after = url.searchParams.get('after') ?? '';
      const list = [...items.values()]
        .filter(item => item.kind === kind && item.name > after)
        .sort((a, b) => (a.name < b.name ? -1 : 1));
      return {
        status: 200,
        body: {items: list.map(wireOf), more: false, at: revision},
      };
    }
    if (method === 'POST') {
      const created = body.metadata.name as string;
      const known = items.get(keyOf(kind, created));
      if (known) return {status: 409, body: wireOf(known)};
      const item = put(kind, created, body.spec);
      store.onWrite(item);
      return {status: 200, body: wireOf(item)};
    }
    const known = items.get(keyOf(kind, name));
    if (!known) return {status: 404, body: {}};
    if (method === 'GET') return {status: 200, body: wireOf(known)};
    const expected =
      body?.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (expected !== undefined && Number(expected) !== known.revision)
      return {status: 409, body: wireOf(known)};
    if (method === 'DELETE') {
      remove(known);
      return {status: 200, body: wireOf(known)};
    }
    const item = put(kind, name, body.spec);
    store.onWrite(item);
    return {status: 200, body: wireOf(item)};
  };

  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    if (!store.isUp) return request.socket.destroy();
    const text = Buffer.concat(parts).toString();
    const url = new URL(request.url ?? '/', 'http://store');
    const reply = await handle(
      request.method ?? '',
      url,
      text ? JSON.parse(text) : undefined,
    );
    if (!store.isUp || response.destroyed) return request.socket.destroy();
    // The platform's store takes some milliseconds for an answer.
    setTimeout(() => {
      response.writeHead(reply.status, {
        'Content-Type': 'application/json',
        'Store-Era': String(era),
      });
      response.end(JSON.stringify(reply.body));
    }, 4);
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;

  const store: Store = {
    address: `127.0.0.1:${port}`,
    write: (kind, name, spec) => void put(kind, name, spec),
    read: (kind, name) => items.get(keyOf(kind, name)),
    revision: () => revision,
    isUp: true,
    takeCopy: () => ({
      items: new Map(items),
      events: [...events],
      revision,
    }),
    restore: copy => {
      items = new Map(copy.items);
      events = [...copy.events];
      revision = copy.revision;
      era += 1;
      notify();
    },
    onWrite: () => {},
    close: () => {
      server.close();
      server.closeAllConnections();
      for (const socket of sockets) socket.destroy();
    },
  };
  return store;
}
