import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {Envelope, Message} from '../ownership/index.js';
import {DatagramSchema} from './gen/vanillaspool/v1/peer_pb.js';
import type {Datagram} from './gen/vanillaspool/v1/peer_pb.js';
import type {Signer} from './signing.js';
import {SIGNATURE_BYTES} from './signing.js';

/** A received message and its number among those of its sender. */
export interface ReceivedMessage {
  readonly envelope: Envelope;
  readonly sequence: number;
}

/**
 * Encodes and signs a message as one datagram: the length of the secret's
 * identifier (one byte), the identifier, the signature and the message.
 *
 * @example
 * socket.send(encodeDatagram(envelope, 17, signer), port, host);
 */
export function encodeDatagram(
  envelope: Envelope,
  sequence: number,
  signer: Signer,
): Uint8Array {
  const payload = toBinary(
    DatagramSchema,
    create(DatagramSchema, {
      instance: envelope.instance,
      process: envelope.process,
      sequence: BigInt(sequence),
      body: bodyOf(envelope.message),
    }),
  );
  const id = Buffer.from(signer.id, 'utf8');
  const length = Buffer.from([id.length]);
  return Buffer.concat([length, id, signer.sign(payload), payload]);
}

/**
 * Decodes a datagram, or returns undefined when it is malformed or its
 * signature is not one of the fleet.
 *
 * @example
 * const received = decodeDatagram(bytes, signer);
 */
export function decodeDatagram(
  bytes: Uint8Array,
  signer: Signer,
): ReceivedMessage | undefined {
  const idEnd = 1 + (bytes[0] ?? 0);
  const payloadStart = idEnd + SIGNATURE_BYTES;
  if (bytes.length < payloadStart) return undefined;
  const id = Buffer.from(bytes.subarray(1, idEnd)).toString('utf8');
  const signature = bytes.subarray(idEnd, payloadStart);
  const payload = bytes.subarray(payloadStart);
  if (!signer.verify(id, payload, signature)) return undefined;
  return decodePayload(payload);
}

function decodePayload(payload: Uint8Array): ReceivedMessage | undefined {
  let datagram: Datagram;
  try {
    datagram = fromBinary(DatagramSchema, payload);
  } catch {
    return undefined;
  }
  const {instance, process, sequence, body} = datagram;
  if (body.case === undefined) return undefined;
  const message = {kind: body.case, ...body.value} as unknown as Message;
  const envelope = {instance, process, message};
  return {envelope, sequence: Number(sequence)};
}

function bodyOf(message: Message): Datagram['body'] {
  const {kind, ...value} = message;
  return {case: kind, value} as unknown as Datagram['body'];
}
