import http, {type IncomingMessage, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

/** An object of the store. */
interface StoredItem {
  readonly kind: string;
  readonly metadata: {readonly name: string; readonly revision: number};
  readonly spec: unknown;
}

/** A change of an object. */
interface Event {
  readonly kind: string;
  readonly object: StoredItem;
  readonly deleted: boolean;
}

/** Faults of the store, set by a test. */
export interface StoreFaults {
  /** Responds to every call with 503. */
  isUnavailable: boolean;
  /** Accepts calls and never responds. */
  isUnresponsive: boolean;
  /** Applies writes and then closes the connection without a response. */
  dropsWriteResponses: boolean;
  /** Oldest revision that a watch may start from; an earlier one gets 410. */
  compactedAt: number;
  /** Delay of each response. */
  delayMs: number;
}

/** State of the store at a moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredItem>;
  readonly events: readonly Event[];
  readonly revision: number;
}

/** An in-memory stand-in for the platform's metadata store. */
export interface MetadataStoreStandin {
  readonly address: string;
  readonly faults: StoreFaults;
  /** Number of calls received. */
  readonly calls: () => number;
  /** Number of calls received for a kind of objects. */
  readonly callsOf: (kind: string) => number;
  /** Never responds to the watches of a kind that wait now. */
  readonly loseWatches: (kind: string) => void;
  /** Writes an object unconditionally, as the operator does. */
  readonly write: (kind: string, name: string, spec: unknown) => void;
  readonly read: (kind: string, name: string) => unknown;
  readonly takeCopy: () => StoreCopy;
  /**
   * Replaces the whole state by a copy, so that revisions are given out again, and
   * raises the era in the header of the responses.
   */
  readonly restore: (copy: StoreCopy) => void;
  readonly close: () => void;
}

/**
 * Starts a stand-in for the metadata store on the loopback address.
 *
 * @example
 * const store = await startMetadataStore();
 * store.write('config', 'main', configuration);
 */
export async function startMetadataStore(
  port = 0,
): Promise<MetadataStoreStandin> {
  let items = new Map<string, StoredItem>();
  let events: Event[] = [];
  let era = 1;
  const faults: StoreFaults = {
    isUnavailable: false,
    isUnresponsive: false,
    dropsWriteResponses: false,
    compactedAt: 0,
    delayMs: 0,
  };
  let waiters: (() => void)[] = [];
  let revision = 1;
  let calls = 0;
  const callsByKind = new Map<string, number>();
  /** Watches that wait, by their kind. */
  const waiting = new Map<{isLost: boolean}, string>();

  const writeObject = (kind: string, name: string, spec: unknown) => {
    const key = `${kind}/${name}`;
    const known = items.get(key);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    revision += 1;
    const item = {kind, metadata: {name, revision}, spec};
    items.set(key, item);
    publish({kind, object: item, deleted: false});
    return item;
  };

  const deleteObject = (item: StoredItem) => {
    items.delete(`${item.kind}/${item.metadata.name}`);
    revision += 1;
    const metadata = {...item.metadata, revision};
    publish({kind: item.kind, object: {...item, metadata}, deleted: true});
  };

  const publish = (event: Event) => {
    events.push(event);
    const notified = waiters;
    waiters = [];
    notified.forEach(wake => wake());
  };

  const watch = async (kind: string, from: number, waitMs: number) => {
    const until = Date.now() + waitMs;
    for (;;) {
      const isUnknown = from < faults.compactedAt || from > revision;
      if (isUnknown) return {status: 410, body: {}};
      const found = events.filter(
        event => event.kind === kind && event.object.metadata.revision > from,
      );
      const left = until - Date.now();
      if (found.length > 0 || left <= 0) {
        return {status: 200, body: {events: found, at: revision}};
      }
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, left);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  };

  const handleRequest = async (request: IncomingMessage) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const {method} = request;
    const body = await readJson(request);
    const key = `${kind}/${name}`;
    const known = items.get(key);
    callsByKind.set(kind, (callsByKind.get(kind) ?? 0) + 1);
    if (method === 'GET' && name === undefined) {
      const from = url.searchParams.get('watch');
      if (from !== null) {
        const waitMs = Number(url.searchParams.get('wait_ms'));
        const state = {isLost: false};
        waiting.set(state, kind);
        const page = await watch(kind, Number(from), waitMs);
        waiting.delete(state);
        return {...page, ...state};
      }
      const listed = [...items.values()].filter(item => item.kind === kind);
      return {status: 200, body: {items: listed, more: false, at: revision}};
    }
    if (method === 'GET') return {status: known ? 200 : 404, body: known ?? {}};
    const expectedRevision =
      body?.metadata?.revision ?? url.searchParams.get('revision');
    if (method === 'POST') {
      const created = `${kind}/${body?.metadata?.name}`;
      const existing = items.get(created);
      if (existing) return {status: 409, body: existing};
      return {
        status: 201,
        body: writeObject(kind, body?.metadata?.name ?? '', body?.spec),
      };
    }
    if (!known) return {status: 404, body: {}};
    if (
      expectedRevision !== null &&
      Number(expectedRevision) !== known.metadata.revision
    ) {
      return {status: 409, body: known};
    }
    if (method === 'DELETE') {
      deleteObject(known);
      return {status: 200, body: known};
    }
    return {status: 200, body: writeObject(kind, name, body?.spec)};
  };

  const server = http.createServer((request, response) => {
    calls += 1;
    if (faults.isUnresponsive) return;
    if (faults.isUnavailable) {
      response.writeHead(503, {'store-era': String(era)}).end('{}');
      return;
    }
    void handleRequest(request).then(async answer => {
      if ('isLost' in answer && answer.isLost) return;
      const {status, body} = answer;
      if (faults.delayMs > 0) {
        await new Promise(resolve => setTimeout(resolve, faults.delayMs));
      }
      if (faults.dropsWriteResponses && request.method !== 'GET') {
        request.socket.destroy();
        return;
      }
      response.writeHead(status, {
        'content-type': 'application/json',
        'store-era': String(era),
      });
      response.end(JSON.stringify(body));
    });
  });
  await listen(server, port);
  const bound = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${bound.port}`,
    faults,
    calls: () => calls,
    callsOf: kind => callsByKind.get(kind) ?? 0,
    loseWatches: lost => {
      for (const [state, kind] of waiting) state.isLost ||= kind === lost;
    },
    write: (kind, name, spec) => void writeObject(kind, name, spec),
    read: (kind, name) => items.get(`${kind}/${name}`)?.spec,
    takeCopy: () => ({
      items: new Map(items),
      events: [...events],
      revision,
    }),
    restore: copy => {
      items = new Map(copy.items);
      events = [...copy.events];
      ({revision} = copy);
      era += 1;
      server.closeAllConnections();
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Starts a server on a port of a loopback address; 0 selects a free one.
 *
 * @example
 * await listen(server, 0);
 */
export async function listen(
  server: Server,
  port: number,
  host = '127.0.0.1',
): Promise<void> {
  server.listen(port, host);
  await once(server, 'listening');
}

interface WriteBody {
  readonly metadata?: {readonly name?: string; readonly revision?: number};
  readonly spec?: unknown;
}

async function readJson(
  request: IncomingMessage,
): Promise<WriteBody | undefined> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  if (parts.length === 0) return undefined;
  return JSON.parse(Buffer.concat(parts).toString()) as WriteBody;
}
