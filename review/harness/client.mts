import http from 'node:http';
import type {Recorder} from './record.mjs';

/** A route as clients know it. */
export interface Route {
  readonly host: string;
  readonly prefix: string;
}

/** A request of a client. */
export interface ClientRequest {
  readonly to: string;
  readonly route: Route;
  readonly method?: string;
  readonly key?: number;
  readonly body?: string;
  readonly deadlineMs: number;
}

/** What a client got. */
export interface ClientAnswer {
  readonly id: string;
  readonly status: number;
  readonly signature?: string;
  readonly body: string;
  readonly error?: string;
}

let count = 0;

/** Sends one request on a kept connection and returns its answer. */
export function send(
  agent: http.Agent,
  record: Recorder,
  {to, route, method = 'GET', key, body, deadlineMs}: ClientRequest,
): Promise<ClientAnswer> {
  const id = `r${(count += 1)}`;
  const [host, port] = to.split(':');
  return new Promise(resolve => {
    const finish = (answer: Omit<ClientAnswer, 'id'>) => {
      clearTimeout(timer);
      const error = answer.error ? ` (${answer.error})` : '';
      record.note(`answer to ${id}: ${answer.status}${error}`);
      resolve({id, ...answer});
    };
    record.note(`sent ${id} ${method} key ${key} to ${to}`);
    const request = http.request(
      {
        agent,
        host,
        port,
        method,
        path: `${route.prefix}2f`,
        headers: {
          host: route.host,
          'X-Vanillaspool-Request-Id': id,
          'X-Vanillaspool-Request-Deadline': String(deadlineMs),
          ...(key !== undefined && {'X-Vanillaspool-Shard-Key': String(key)}),
          ...(body !== undefined && {'Content-Length': String(body.length)}),
        },
      },
      response => {
        const parts: Buffer[] = [];
        response.on('data', part => parts.push(part));
        response.on('error', error =>
          finish({status: 0, body: '', error: error.message}),
        );
        response.on('end', () =>
          finish({
            status: response.complete ? (response.statusCode ?? 0) : 0,
            signature: response.headers[
              'x-vanillaspool-response-signature'
            ] as string,
            body: Buffer.concat(parts).toString(),
          }),
        );
      },
    );
    const timer = setTimeout(
      () => request.destroy(new Error('time budget passed')),
      deadlineMs + 200,
    );
    request.on('error', error =>
      finish({status: 0, body: '', error: error.message}),
    );
    request.end(body);
  });
}
