import {createHmac} from 'node:crypto';
import {
  create,
  createFileRegistry,
  fromBinary,
  toBinary,
  type DescMessage,
} from '@bufbuild/protobuf';
import {
  FieldDescriptorProto_Label,
  FieldDescriptorProto_Type,
  FileDescriptorProtoSchema,
} from '@bufbuild/protobuf/wkt';
import type {Result} from '../results.js';
import {figure, timeUs} from './figures.js';
import {createChunks, createMembers, createService} from './records.js';

const SECRET = 'a secret of thirty-two characters';

/**
 * Times the codec and the signature of a lease renewal.
 *
 * @example
 * codecCosts().map(result => result.name);
 */
export function codecCosts(): readonly Result[] {
  const schema = heartbeatSchema();
  const message = create(schema, {
    instance: 'rota-display-1117',
    generation: 190,
    process: '01234567-89ab-cdef-0123-456789abcdef',
    sequence: 123_456_789n,
    witnesses: 17,
  });
  const bytes = toBinary(schema, message);
  const sign = () => createHmac('sha256', SECRET).update(bytes).digest();
  const encode = timeUs(5000, () => toBinary(schema, message));
  const decode = timeUs(5000, () => fromBinary(schema, bytes));
  const hmac = timeUs(5000, sign);
  return [
    figure('heartbeat-bytes', bytes.length + sign().length, 'bytes'),
    figure('heartbeat-encode', encode, 'us'),
    figure('heartbeat-decode', decode, 'us'),
    figure('heartbeat-hmac', hmac, 'us'),
  ];
}

/** Builds the schema of a lease renewal with the fields it needs. */
function heartbeatSchema(): DescMessage {
  const {STRING, UINT32, UINT64} = FieldDescriptorProto_Type;
  const fields = [
    ['instance', STRING],
    ['generation', UINT32],
    ['process', STRING],
    ['sequence', UINT64],
    ['witnesses', UINT32],
  ] as const;
  const file = create(FileDescriptorProtoSchema, {
    name: 'heartbeat.proto',
    syntax: 'proto3',
    messageType: [
      {
        name: 'Heartbeat',
        field: fields.map(([name, type], i) => ({
          name,
          type,
          number: i + 1,
          label: FieldDescriptorProto_Label.OPTIONAL,
        })),
      },
    ],
  });
  const registry = createFileRegistry(file, () => undefined);
  const message = registry.getMessage('Heartbeat');
  if (!message) throw new Error('the registry has no Heartbeat');
  return message;
}

/**
 * Sizes of the records as JSON text on the platform.
 *
 * @example
 * recordSizes().map(result => result.name);
 */
export function recordSizes(): readonly Result[] {
  const bytes = (value: unknown) => Buffer.byteLength(JSON.stringify(value));
  const [chunk] = createChunks(16_384);
  const configuration = {
    version: 4900,
    change: '01234567-89ab-cdef-0123-456789abcdef',
    author: 'operator',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    sites: ['newsroom', 'rental'].map(site => ({
      site,
      services: [1, 2, 3, 4].map(() => createService(16_384)),
    })),
  };
  return [
    figure('member-bytes', bytes(createMembers(1200)[1199]), 'bytes'),
    figure('chunk-bytes', bytes(chunk), 'bytes'),
    figure('slice-bytes', bytes(chunk.slices[0]), 'bytes'),
    figure('configuration-bytes', bytes(configuration), 'bytes'),
  ];
}
