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

/** One object of the platform as spread among the daemons. */
export interface MirroredObject {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Yields the objects newer than a revision, then each change, in batches. */
export type Publish = (
  after: number,
  signal: AbortSignal,
) => AsyncIterable<readonly MirroredObject[]>;

/** Path prefix of the calls between daemons. */
export const RPC_PREFIX = '/vanillaspool.';

const SIGNATURE_HEADER = 'vanillaspool-signature';
const TIME_HEADER = 'vanillaspool-time';

/** Age after which a signed call is refused, in milliseconds. */
const CALL_AGE_LIMIT_MS = 30_000;

/**
 * Creates the HTTP handler of the calls between daemons.
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
 * Follows the objects that another daemon publishes, until aborted or until the
 * stream breaks, which rejects.
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

function signCall(signer: Signer, time: number): Headers {
  const text = String(time);
  const signature = Buffer.from(signer.sign(Buffer.from(`follow ${text}`)));
  return new Headers({
    [TIME_HEADER]: text,
    [SIGNATURE_HEADER]: `${signer.id}:${signature.toString('base64')}`,
  });
}

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
  throw new ConnectError('the call is not signed', Code.Unauthenticated);
}
