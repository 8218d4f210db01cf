/** A stand-in of the platform's metadata store, by PROTOCOL.md. */
import http, {type IncomingMessage} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

interface StoredItem {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly create_revision: number;
    readonly finalizers: readonly string[];
    readonly deletion_timestamp: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface Change {
  readonly kind: string;
  readonly object: StoredItem;
  readonly deleted: boolean;
}

export interface Store {
  readonly address: string;
  /** Writes an object without a condition, as the operator does. */
  readonly write: (kind: string, name: string, spec: unknown) => void;
}

/** Objects in one answer to a listing at most. */
const PAGE = 500;

/** Starts a store on the loopback address. */
export async function startStore(): Promise<Store> {
  const kinds = new Map<string, Map<string, StoredItem>>();
  const changes: Change[] = [];
  let waiters: (() => void)[] = [];
  let revision = 100;

  const kindOf = (kind: string) => {
    const known = kinds.get(kind) ?? new Map<string, StoredItem>();
    kinds.set(kind, known);
    return known;
  };
  const publish = (change: Change) => {
    changes.push(change);
    const woken = waiters;
    waiters = [];
    woken.forEach(wake => wake());
  };
  const put = (kind: string, name: string, spec: unknown) => {
    const known = kindOf(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    revision += 1;
    const object: StoredItem = {
      metadata: {
        name,
        revision,
        create_revision: known?.metadata.create_revision ?? revision,
        finalizers: [],
        deletion_timestamp: false,
      },
      spec,
      status: null,
    };
    kindOf(kind).set(name, object);
    publish({kind, object, deleted: false});
    return object;
  };
  const remove = (kind: string, known: StoredItem) => {
    kindOf(kind).delete(known.metadata.name);
    revision += 1;
    const metadata = {...known.metadata, revision};
    publish({kind, object: {...known, metadata}, deleted: true});
  };
  const watch = async (kind: string, from: number, waitMs: number) => {
    const until = performance.now() + waitMs;
    for (;;) {
      const events = changes
        .filter(
          change =>
            change.kind === kind && change.object.metadata.revision > from,
        )
        .map(({object, deleted}) => ({object, deleted}));
      const leftMs = until - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return {status: 200, body: {events, at: revision}};
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

  const answer = async (request: IncomingMessage) => {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const text = Buffer.concat(parts).toString();
    const body = text
      ? (JSON.parse(text) as {
          metadata?: {name?: string; revision?: number};
          spec?: unknown;
        })
      : undefined;
    const objects = kindOf(kind);
    const {method} = request;
    const known = name === undefined ? undefined : objects.get(name);
    if (method === 'GET' && name === undefined) {
      const from = url.searchParams.get('watch');
      if (from !== null) {
        const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
        return watch(kind, Number(from), Math.min(waitMs, 30_000));
      }
      const after = url.searchParams.get('after') ?? '';
      const names = [...objects.keys()].filter(other => other > after).sort();
      const items = names.slice(0, PAGE).map(other => objects.get(other));
      const more = names.length > PAGE;
      return {status: 200, body: {items, more, at: revision}};
    }
    if (method === 'GET') return {status: known ? 200 : 404, body: known ?? {}};
    if (method === 'POST') {
      const created = body?.metadata?.name ?? '';
      const existing = objects.get(created);
      if (existing) return {status: 409, body: existing};
      return {status: 201, body: put(kind, created, body?.spec)};
    }
    if (!known) return {status: 404, body: {}};
    const expected =
      body?.metadata?.revision ?? url.searchParams.get('revision');
    const isStale =
      expected !== null &&
      expected !== undefined &&
      Number(expected) !== known.metadata.revision;
    if (isStale) return {status: 409, body: known};
    if (method === 'DELETE') {
      remove(kind, known);
      return {status: 200, body: known};
    }
    return {status: 200, body: put(kind, name, body?.spec)};
  };

  const server = http.createServer((request, response) => {
    answer(request).then(
      ({status, body}) => {
        // The store takes 4 ms for an answer.
        setTimeout(() => {
          response.writeHead(status, {
            'content-type': 'application/json',
            'store-era': '1',
          });
          response.end(JSON.stringify(body));
        }, 4);
      },
      () => response.destroy(),
    );
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    write: (kind, name, spec) => void put(kind, name, spec),
  };
}
