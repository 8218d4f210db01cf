import {Code, ConnectError, createClient} from '@connectrpc/connect';
import type {ConnectRouter} from '@connectrpc/connect';
import {
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {formatAddress} from '../model/index.js';
import type {Address} from '../model/index.js';
import {Mirror} from './gen/vanillaspool/v1/peer_pb.js';
import type {Signer} from './signing.js';

/** An object of the platform as replicated between daemons. */
export interface MirroredObject {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Yields in batches the objects newer than a revision, then each change. */
export type Publish = (
  after: number,
  signal: AbortSignal,
) => AsyncIterable<readonly MirroredObject[]>;

/** Path prefix of the RPC calls between daemons. */
export const RPC_PREFIX = '/vanillaspool.';

const SIGNATURE_HEADER = 'vanillaspool-signature';
const TIME_HEADER = 'vanillaspool-time';

/** Maximum age of a signed call. */
const CALL_AGE_LIMIT_MS = 30_000;

/**
 * Creates the HTTP handler of the RPC calls between daemons.
 *
 * @example
 * const handler = createMirrorHandler(publish, signer, () => Date.now());
 */
export function createRpcHandler(
  publish: Publish,
  signer: Signer,
  wallClock: () => number,
): (request: IncomingMessage, response: ServerResponse) => void {
  const routes = (router: ConnectRouter) =>
    router.service(Mirror, {
      async *follow(request, context) {
        verifyCall(context.requestHeader, signer, wallClock());
        const after = Number(request.after);
        for await (const objects of publish(after, context.signal)) {
          yield {objects: objects.map(encodeObject)};
        }
      },
    });
  return connectNodeAdapter({routes});
}

/**
 * Follows the objects that another daemon publishes, until aborted.
 *
 * @param after Revision after which objects are sent.
 * @throws {ConnectError} When the stream breaks.
 *
 * @example
 * for await (const objects of follow(address, 0, signer, signal, () => Date.now())) {}
 */
export async function* follow(
  address: Address,
  after: number,
  signer: Signer,
  signal: AbortSignal,
  wallClock: () => number,
): AsyncIterable<readonly MirroredObject[]> {
  const transport = createConnectTransport({
    baseUrl: `http://${formatAddress(address)}`,
    httpVersion: '1.1',
  });
  const client = createClient(Mirror, transport);
  const headers = signCall(signer, wallClock());
  const stream = client.follow({after: BigInt(after)}, {signal, headers});
  for await (const response of stream) {
    yield response.objects.map(object => ({
      key: object.key,
      value: object.value,
      version: Number(object.version),
    }));
  }
}

function encodeObject(object: MirroredObject) {
  return {...object, version: BigInt(object.version)};
}

/** Creates the headers that sign a call with its time. */
function signCall(signer: Signer, time: number): Headers {
  const text = String(time);
  const signature = Buffer.from(signer.sign(Buffer.from(`follow ${text}`)));
  return new Headers({
    [TIME_HEADER]: text,
    [SIGNATURE_HEADER]: `${signer.id}:${signature.toString('base64')}`,
  });
}

/** Throws unless the headers hold a valid signature of a recent time. */
function verifyCall(headers: Headers, signer: Signer, now: number): void {
  const text = headers.get(TIME_HEADER) ?? '';
  const [id, encoded = ''] = (headers.get(SIGNATURE_HEADER) ?? '').split(':');
  const signature = Buffer.from(encoded, 'base64');
  const age = Math.abs(now - Number(text));
  const isSignatureValid = signer.verify(
    id,
    Buffer.from(`follow ${text}`),
    signature,
  );
  if (isSignatureValid && age <= CALL_AGE_LIMIT_MS) return;
  throw new ConnectError(
    'call signature missing, invalid or expired',
    Code.Unauthenticated,
  );
}
