import net, {type Socket} from 'node:net';
import {build, type Histogram} from 'hdr-histogram-js';
import type {Address} from '../../src/model/index.js';
import {RESPONSE_BODY_BYTES} from './roles.js';

const US_PER_MS = 1000;

/** A connection that carries one request at a time. */
interface Connection {
  readonly request: () => Promise<void>;
  readonly close: () => void;
}

/** Times of answers in milliseconds. */
export interface Latency {
  readonly rate: number;
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Sends requests, each connection its next one as soon as it is answered. */
export async function runClosedLoop(
  address: Address,
  requests: number,
  connections: number,
): Promise<void> {
  let remaining = requests;
  const worker = async () => {
    const connection = await connect(address);
    while (remaining > 0) {
      remaining -= 1;
      await connection.request();
    }
    connection.close();
  };
  await Promise.all(Array.from({length: connections}, worker));
}

/**
 * Sends requests at a fixed rate and measures each from the time at which it
 * was due, so that a stalled server counts against every request it delays.
 */
export async function runOpenLoop(
  address: Address,
  rate: number,
  durationMs: number,
  connections: number,
): Promise<Latency> {
  const histogram = build();
  const total = Math.floor((rate * durationMs) / 1000);
  const startMs = performance.now();
  let next = 0;
  const worker = async () => {
    const connection = await connect(address);
    while (next < total) {
      const dueMs = startMs + (next * 1000) / rate;
      next += 1;
      await sleepUntil(dueMs);
      await connection.request();
      const tookUs = (performance.now() - dueMs) * US_PER_MS;
      histogram.recordValue(Math.max(1, Math.round(tookUs)));
    }
    connection.close();
  };
  await Promise.all(Array.from({length: connections}, worker));
  return latencyOf(histogram, rate, total);
}

function latencyOf(
  histogram: Histogram,
  rate: number,
  requests: number,
): Latency {
  const ms = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {rate, requests, p50Ms: ms(50), p99Ms: ms(99), p999Ms: ms(99.9)};
}

async function sleepUntil(dueMs: number): Promise<void> {
  const delayMs = dueMs - performance.now();
  if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs));
}

async function connect(address: Address): Promise<Connection> {
  const socket = net.connect(address.port, address.host);
  socket.setNoDelay(true);
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  let onResponse = () => {};
  let receivedBytes = 0;
  let expectedBytes = 0;
  socket.on('data', (chunk: Buffer) => {
    if (receivedBytes === 0) expectedBytes = responseBytes(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes < expectedBytes) return;
    receivedBytes = 0;
    onResponse();
  });
  return {
    request: () => send(socket, done => (onResponse = done)),
    close: () => socket.destroy(),
  };
}

const REQUEST =
  'GET /rota/night-desk HTTP/1.1\r\nHost: rota\r\n' +
  'Accept: text/plain\r\nUser-Agent: measure\r\n\r\n';

function send(
  socket: Socket,
  register: (done: () => void) => void,
): Promise<void> {
  return new Promise(resolve => {
    register(resolve);
    socket.write(REQUEST);
  });
}

function responseBytes(head: Buffer): number {
  if (!head.subarray(0, 12).equals(Buffer.from('HTTP/1.1 200'))) {
    throw new Error(`unexpected answer: ${head.toString('latin1')}`);
  }
  return head.indexOf('\r\n\r\n') + 4 + RESPONSE_BODY_BYTES;
}
