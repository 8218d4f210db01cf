import {Agent, request as sendHttpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../random.js';

/** The traffic of callers at one daemon. */
export interface Traffic {
  readonly perSecond: number;
  readonly seconds: number;
  /** Route that the requests take. */
  readonly route: string;
  /** Share of requests that come on a new connection, from 0 to 1. */
  readonly newShare: number;
}

/** Results of the traffic at one daemon. */
export interface TrafficResult {
  readonly requests: number;
  /** Requests that got another status than 200, or none. */
  readonly failed: number;
  /** Medians and 99th percentiles of the times until whole answers. */
  readonly medianMs: number;
  readonly p99Ms: number;
}

/** Time limit that callers state. */
const DEADLINE_MS = 2500;

const MS_PER_SECOND = 1000;

/** Number of keys among which callers choose. */
const KEYS = 60_000;

/** Share of requests with a body, from 0 to 1. */
const BODY_SHARE = 0.3;
const BODY = Buffer.alloc(300, 'b');

/**
 * Sends requests to a daemon as callers do: at random times, some on a new
 * connection that is closed after its answer, the others on kept ones.
 *
 * @param address Address of the daemon for callers, as `ip:port`.
 *
 * @example
 * await sendTraffic('127.0.0.1:8080', traffic, createRandom(1));
 */
export async function sendTraffic(
  address: string,
  {perSecond, seconds, route, newShare}: Traffic,
  random: Random,
): Promise<TrafficResult> {
  const [host, port] = address.split(':');
  const kept = new Agent({keepAlive: true, maxSockets: 16});
  const count = perSecond * seconds;
  const times: number[] = [];
  let failed = 0;
  const send = async (number: number) => {
    const startedAt = performance.now();
    const status = await sendOne({
      host,
      port,
      agent: random() < newShare ? false : kept,
      hasBody: random() < BODY_SHARE,
      route,
      key: Math.floor(random() * KEYS),
      id: `r${number}`,
    });
    times.push(performance.now() - startedAt);
    if (status !== 200) failed += 1;
  };
  const startedAt = performance.now();
  const dueTimes = Array.from(
    {length: count},
    () => random() * seconds * MS_PER_SECOND,
  ).sort((a, b) => a - b);
  const sent: Promise<void>[] = [];
  for (const [number, dueMs] of dueTimes.entries()) {
    const leftMs = startedAt + dueMs - performance.now();
    if (leftMs > 0) await sleep(leftMs);
    sent.push(send(number));
  }
  await Promise.all(sent);
  kept.destroy();
  times.sort((a, b) => a - b);
  return {
    requests: count,
    failed,
    medianMs: times[Math.floor(times.length * 0.5)],
    p99Ms: times[Math.floor(times.length * 0.99)],
  };
}

interface CallerRequest {
  readonly host: string;
  readonly port: string;
  readonly agent: Agent | false;
  readonly hasBody: boolean;
  readonly route: string;
  readonly key: number;
  readonly id: string;
}

/** Sends one request; returns its status, or 0 without a whole answer. */
function sendOne(request: CallerRequest): Promise<number> {
  const {host, port, agent, hasBody, route, key, id} = request;
  const options = {
    ...{host, port, agent, path: `/${route}/${key}`},
    method: hasBody ? 'POST' : 'GET',
    headers: {
      Host: 'a.example',
      Accept: '*/*',
      'User-Agent': 'caller',
      'X-Vanillaspool-Request-Id': id,
      'X-Vanillaspool-Request-Deadline': String(DEADLINE_MS),
      'X-Vanillaspool-Shard-Key': String(key),
      ...(hasBody && {'Content-Length': BODY.length}),
      ...(agent === false && {Connection: 'keep-alive'}),
    },
  };
  return new Promise(resolve => {
    const sent = sendHttpRequest(options, response => {
      response.resume();
      response.on('end', () => {
        if (agent === false) sent.socket?.end();
        resolve(response.complete ? (response.statusCode ?? 0) : 0);
      });
    });
    sent.on('error', () => resolve(0));
    sent.end(hasBody ? BODY : undefined);
  });
}
