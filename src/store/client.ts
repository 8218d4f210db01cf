import {Pool, type Dispatcher} from 'undici';
import {createConnector} from '../connector/index.js';
import {formatAddress, type Address} from '../model/index.js';
import {AnswerLostError, UnavailableError} from './errors.js';
import {exchange, type Call, type Reply} from './exchange.js';
import type {Listing, ObjectStore, StoredObject, WriteResult} from './store.js';
import {watchChanges} from './watch.js';

/** Limits of a platform client. */
export interface ClientOptions {
  /** Maximum number of connections for calls other than watches. */
  readonly connections?: number;
  /** Time limit of a call other than a watch, in milliseconds. */
  readonly timeoutMs?: number;
  /** Time without data after which a watch fails, in milliseconds. */
  readonly watchIdleTimeoutMs?: number;
}

/** A client of the platform that holds network connections. */
export interface StoreClient extends ObjectStore {
  /** Closes all connections; calls in progress fail. */
  readonly close: () => Promise<void>;
}

const DEFAULT_OPTIONS: Required<ClientOptions> = {
  connections: 4,
  timeoutMs: 2000,
  watchIdleTimeoutMs: 4000,
};

/** Maximum number of connections for watches. */
const WATCH_CONNECTIONS = 8;

/** Time limit for opening a connection. */
const CONNECT_TIMEOUT_MS = 1000;

/**
 * Creates a client of the platform's object API.
 *
 * A watch throws when its stream ends. After `RevisionGoneError` the caller must
 * list the objects again; after `UnavailableError` it may resume the watch from the
 * last version that it received.
 *
 * @throws {RangeError} if an option is not a positive number.
 *
 * @example
 * const platform = createStoreClient({host: '127.0.0.1', port: 7000});
 * const object = await platform.get('configuration/current');
 */
export function createStoreClient(
  address: Address,
  options: ClientOptions = {},
): StoreClient {
  const limits = {...DEFAULT_OPTIONS, ...options};
  checkOptions(limits);
  const origin = `http://${formatAddress(address)}`;
  const calls = createPool(origin, limits.connections);
  const watches = createPool(origin, WATCH_CONNECTIONS);
  const send = (call: Call) => exchange(calls, call, limits.timeoutMs);
  return {
    get: async key => parseObject(await send(readCall({key}))),
    list: async prefix => parseListing(await send(readCall({prefix}))),
    put: async (key, value, expected) => {
      const path = pathOf('/objects', {key, expected: checkVersion(expected)});
      return parseWriteResult(await send({method: 'PUT', path, body: value}));
    },
    delete: async (key, expected) => {
      const path = pathOf('/objects', {key, expected: checkVersion(expected)});
      return parseWriteResult(await send({method: 'DELETE', path}));
    },
    watch: (prefix, after, signal) => {
      const path = pathOf('/watch', {prefix, after: checkVersion(after)});
      return watchChanges(watches, path, limits.watchIdleTimeoutMs, signal);
    },
    close: async () => {
      await Promise.all([calls.destroy(), watches.destroy()]);
    },
  };
}

function checkOptions(limits: Required<ClientOptions>): void {
  for (const [name, value] of Object.entries(limits)) {
    if (!(value > 0))
      throw new RangeError(`${name} must be positive, got ${value}`);
  }
}

function createPool(origin: string, connections: number): Dispatcher {
  return new Pool(origin, {
    connections,
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
  });
}

function pathOf(
  path: string,
  query: Readonly<Record<string, string | number>>,
): string {
  const search = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    search.append(name, String(value));
  }
  return `${path}?${search}`;
}

function readCall(query: Readonly<Record<string, string>>): Call {
  return {method: 'GET', path: pathOf('/objects', query)};
}

function checkVersion(version: number): number {
  if (!Number.isInteger(version) || version < 0) {
    throw new RangeError(
      `version must be a non-negative integer, got ${version}`,
    );
  }
  return version;
}

function parseObject({status, body}: Reply): StoredObject | undefined {
  if (status === 404) return undefined;
  if (status === 200) return parseJson<StoredObject>(body, UnavailableError);
  throw new UnavailableError(`the platform responded with status ${status}`);
}

function parseListing({status, body}: Reply): Listing {
  if (status === 200) return parseJson<Listing>(body, UnavailableError);
  throw new UnavailableError(`the platform responded with status ${status}`);
}

function parseWriteResult({status, body}: Reply): WriteResult {
  if (status === 200) {
    const {version} = parseJson<{version: number}>(body, AnswerLostError);
    return {kind: 'stored', version};
  }
  if (status === 409) {
    const {current} = parseJson<{current?: StoredObject}>(
      body,
      UnavailableError,
    );
    return {kind: 'conflict', current};
  }
  if (isRefusal(status)) {
    throw new UnavailableError(`the platform responded with status ${status}`);
  }
  throw new AnswerLostError(`the platform responded with status ${status}`);
}

function isRefusal(status: number): boolean {
  return (status >= 400 && status < 500) || status === 503;
}

/**
 * Parses the body of a platform response as JSON.
 *
 * @param Failure Error class to throw if the body is not valid JSON.
 *
 * @example
 * const {version} = parseJson<{version: number}>(body, AnswerLostError);
 */
export function parseJson<T>(
  body: string,
  Failure: typeof UnavailableError | typeof AnswerLostError,
): T {
  try {
    return JSON.parse(body) as T;
  } catch (cause) {
    throw new Failure('the platform sent a body that is not valid JSON', {
      cause,
    });
  }
}
