import type {ServerResponse} from 'node:http';

/** Number of chunks of a slow response, and the pause after each. */
const SLOW_CHUNKS = 5;
const SLOW_PAUSE_MS = 100;

/** Fault of a response, selected by the query parameter `fault`. */
export type AnswerFault = 'none' | 'short' | 'reset' | 'stall' | 'slow';

/**
 * Response body that echoes the request, so that a caller can match the two.
 */
export interface Echo {
  readonly upstream: string;
  readonly request: string;
  readonly key: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly bodyBytes: number;
  /** SHA-256 of the request's body in hexadecimal. */
  readonly bodyHash: string;
  /** Filler text, with the length given by the query parameter `pad`. */
  readonly padding?: string;
}

/** Reads the fault that a request selects. */
export function readFault(url: URL): AnswerFault {
  const name = url.searchParams.get('fault');
  const faults: readonly AnswerFault[] = ['short', 'reset', 'stall', 'slow'];
  return faults.find(fault => fault === name) ?? 'none';
}

/** Sends the echo with the status and the fault that the request selects. */
export async function sendEcho(
  response: ServerResponse,
  echo: Echo,
  url: URL,
): Promise<void> {
  const status = Number(url.searchParams.get('status') ?? 200);
  const fault = readFault(url);
  if (fault === 'reset') return void response.socket?.resetAndDestroy();
  if (status === 204 || status === 304) {
    response.writeHead(status).end();
    return;
  }
  const body = Buffer.from(JSON.stringify(echo));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  if (echo.method === 'HEAD') return void response.end();
  await sendBody(response, body, fault);
}

async function sendBody(
  response: ServerResponse,
  body: Buffer,
  fault: AnswerFault,
): Promise<void> {
  if (fault === 'none') return void response.end(body);
  const half = body.subarray(0, body.length >> 1);
  if (fault === 'stall') return void response.write(half);
  if (fault === 'short') {
    response.write(half, () => response.socket?.destroy());
    return;
  }
  const size = Math.ceil(body.length / SLOW_CHUNKS);
  for (let sent = 0; sent < body.length; sent += size) {
    response.write(body.subarray(sent, sent + size));
    await delay(SLOW_PAUSE_MS);
  }
  response.end();
}

/** Sends a JSON value. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Resolves after a time. */
export function delay(timeMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, timeMs));
}
