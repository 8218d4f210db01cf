import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {UnavailableError} from './errors.js';
import {RevisionGoneError} from './revision.js';
import type {Change} from './store.js';

/**
 * Opens a watch and yields its changes until the signal aborts it.
 *
 * @param idleTimeoutMs Longest time without a byte, in milliseconds.
 * @throws {RevisionGoneError} when the platform no longer knows the revision.
 * @throws {UnavailableError} when the stream cannot be opened or has ended.
 *
 * @example
 * for await (const change of watchChanges(pool, path, 4000, signal)) apply(change);
 */
export async function* watchChanges(
  dispatcher: Dispatcher,
  path: string,
  idleTimeoutMs: number,
  signal: AbortSignal,
): AsyncGenerator<Change> {
  try {
    const body = await openStream(dispatcher, path, idleTimeoutMs, signal);
    for await (const line of linesOf(body)) {
      if (line !== '') yield JSON.parse(line) as Change;
    }
  } catch (cause) {
    if (signal.aborted) return;
    if (cause instanceof RevisionGoneError) throw cause;
    throw new UnavailableError('the watch failed', {cause});
  }
  if (!signal.aborted) throw new UnavailableError('the watch ended');
}

async function openStream(
  dispatcher: Dispatcher,
  path: string,
  idleTimeoutMs: number,
  signal: AbortSignal,
): Promise<Readable> {
  const {statusCode, body} = await dispatcher.request({
    method: 'GET',
    path,
    signal,
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs,
  });
  if (statusCode === 200) return body;
  await body.dump();
  if (statusCode === 410) throw new RevisionGoneError('the revision is gone');
  throw new UnavailableError(`the platform answered ${statusCode}`);
}

async function* linesOf(body: Readable): AsyncGenerator<string> {
  let rest = '';
  body.setEncoding('utf8');
  for await (const part of body) {
    const lines = (rest + (part as string)).split('\n');
    rest = lines.pop() ?? '';
    yield* lines;
  }
}
