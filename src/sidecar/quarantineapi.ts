import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  parseQuarantineMessage,
  type QuarantineReport,
} from '../quarantine/index.js';
import {readBody} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';
import {QUARANTINE_PATH} from './broadcast.js';
import type {FleetQuarantine} from './quarantine.js';

/** Path at which operators release a request, named in the body. */
export const RELEASE_PATH = `${QUARANTINE_PATH}/release`;

/** Answer to a request for the quarantined requests. */
export interface QuarantineList {
  readonly requests: readonly QuarantineReport[];
}

/** Largest message that is read, in bytes. */
const MAX_MESSAGE_BYTES = 256 * 1024;

/**
 * Creates the handler of requests under `QUARANTINE_PATH`.
 *
 * @example
 * await createQuarantineHandler(fleetQuarantine, log)(request, response);
 */
export function createQuarantineHandler(
  {quarantine, receive}: Pick<FleetQuarantine, 'quarantine' | 'receive'>,
  log: Log,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const {method, url, socket} = request;
    if (method === 'GET') {
      const list: QuarantineList = {requests: quarantine.reports()};
      response.end(JSON.stringify(list));
      return;
    }
    const body = await readBody(request, {chunked: true}, MAX_MESSAGE_BYTES);
    const text = body.kind === 'buffered' ? body.bytes.toString('utf8') : '';
    if (url === RELEASE_PATH) {
      const isReleased = quarantine.release(text);
      response.writeHead(isReleased ? 200 : 404).end('{}');
      return;
    }
    const message = parseQuarantineMessage(text);
    if (message) {
      receive(message);
      response.writeHead(204).end();
      return;
    }
    const peer = socket.remoteAddress;
    log(SIDECAR_EVENTS.quarantineMalformed, {peer, body: body.kind});
    response.writeHead(400).end(() => socket.destroy());
  };
}
