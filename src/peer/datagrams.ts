import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {once} from 'node:events';
import {isIPv6} from 'node:net';
import type {Address} from '../model/index.js';
import type {Envelope, Message} from '../ownership/index.js';
import {decodeDatagram, encodeDatagram} from './codec.js';
import type {Signer} from './signing.js';
import {recordSequence} from './window.js';
import type {ReplayWindow} from './window.js';

/** Counts of the datagrams of an endpoint. */
export interface DatagramCounts {
  sent: number;
  sentBytes: number;
  received: number;
  receivedBytes: number;
  /** Malformed, wrongly signed or repeated datagrams. */
  refused: number;
}

/** Sends and receives signed messages over UDP. */
export interface DatagramEndpoint {
  readonly send: (to: Address, message: Message) => void;
  readonly counts: Readonly<DatagramCounts>;
  readonly close: () => Promise<void>;
}

/** What an endpoint needs. */
export interface DatagramOptions {
  readonly address: Address;
  readonly instance: string;
  readonly process: string;
  readonly signer: Signer;
  readonly receive: (envelope: Envelope, from: Address) => void;
}

/** Size of the socket's receive buffer, in bytes. */
const RECEIVE_BUFFER_BYTES = 1 << 20;

/**
 * Opens an endpoint.
 *
 * @throws {Error} of the socket when the address can't be bound.
 *
 * @example
 * const endpoint = await openDatagrams({address, instance, process, signer, receive});
 */
export async function openDatagrams(
  options: DatagramOptions,
): Promise<DatagramEndpoint> {
  const {address, signer} = options;
  const socket = createSocket(isIPv6(address.host) ? 'udp6' : 'udp4');
  const counts = newCounts();
  const windows = new Map<string, ReplayWindow>();
  socket.on('message', (bytes, from) => {
    counts.received++;
    counts.receivedBytes += bytes.length;
    const envelope = accept(bytes, signer, windows);
    if (!envelope) counts.refused++;
    else options.receive(envelope, {host: from.address, port: from.port});
  });
  socket.bind(address.port, address.host);
  await once(socket, 'listening');
  socket.on('error', () => undefined);
  socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
  return {
    send: createSend(socket, options, counts),
    counts,
    close: () => new Promise(resolve => socket.close(() => resolve())),
  };
}

function newCounts(): DatagramCounts {
  return {sent: 0, sentBytes: 0, received: 0, receivedBytes: 0, refused: 0};
}

function createSend(
  socket: Socket,
  options: DatagramOptions,
  counts: DatagramCounts,
): (to: Address, message: Message) => void {
  const {instance, process, signer} = options;
  let sequence = 0;
  return (to, message) => {
    sequence++;
    const envelope = {instance, process, message};
    const bytes = encodeDatagram(envelope, sequence, signer);
    counts.sent++;
    counts.sentBytes += bytes.length;
    socket.send(bytes, to.port, to.host, () => undefined);
  };
}

function accept(
  bytes: Uint8Array,
  signer: Signer,
  windows: Map<string, ReplayWindow>,
): Envelope | undefined {
  const received = decodeDatagram(bytes, signer);
  if (!received) return undefined;
  const {envelope, sequence} = received;
  const known = windows.get(envelope.instance);
  const next = recordSequence(known, envelope.process, sequence);
  if (!next) return undefined;
  windows.set(envelope.instance, next);
  return envelope;
}
