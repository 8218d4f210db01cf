import type {Chunk, Member, Service} from '../../src/model/index.js';

/** Fleet sizes and numbers of slices that are measured. */
export const FLEET_SIZES = [50, 200, 600, 1200];
export const SLICE_COUNTS = [1024, 4096, 8192, 16_384];

const SLICES_PER_CHUNK = 64;

/**
 * Members as a daemon keeps them after reading their JSON text.
 *
 * @example
 * fleet(1200).length; // 1200
 */
export function createMembers(size: number): readonly Member[] {
  return Array.from({length: size}, (_, i): Member => {
    const host = `10.${i % 6}.${Math.floor(i / 250)}.${i % 250}`;
    const witness = (w: number) => ({
      instance: `rota-display-${(i + 7 * w) % size}`,
      generation: 1,
      process: `01234567-89ab-cdef-0123-${String(i + w).padStart(12, '0')}`,
      address: {host: `10.${w}.0.${i % 250}`, port: 7001},
      domain: `d${w}`,
    });
    const member: Member = {
      instance: `rota-display-${i}`,
      generation: 3,
      process: `01234567-89ab-cdef-0123-${String(i).padStart(12, '0')}`,
      state: 'serving',
      service: 'rota-display',
      site: 'newsroom',
      region: `r${i % 2}`,
      domain: `d${i % 6}`,
      callers: {host, port: 8080},
      peers: {host, port: 7001},
      control: {host, port: 7002},
      slots: 12,
      connections: 130,
      witnesses: {number: 3, witnesses: [0, 1, 2].map(witness)},
    };
    return JSON.parse(JSON.stringify(member)) as Member;
  });
}

/**
 * A service of some slices, 64 in a chunk.
 *
 * @example
 * serviceOf(16_384).chunks; // 256
 */
export function createService(slices: number): Service {
  return {
    name: 'rota-display',
    pathPrefix: '/rota/',
    key: {path: '/rota/{key}'},
    slices,
    chunks: slices / SLICES_PER_CHUNK,
    priority: 1,
    deadlineMs: 1000,
    fencing: 'enforced',
    successors: 2,
  };
}

/**
 * Chunks as a daemon keeps them after reading their JSON text.
 *
 * @example
 * chunksOf(1024).length; // 16
 */
export function createChunks(slices: number): readonly Chunk[] {
  const members = createMembers(1200);
  const service = createService(slices);
  return Array.from({length: service.chunks}, (_, index) => {
    const numbers = Array.from(
      {length: SLICES_PER_CHUNK},
      (__, i) => index * SLICES_PER_CHUNK + i,
    );
    const chunk: Chunk = {
      service: service.name,
      index,
      slices: numbers.map(slice => ({
        slice,
        wantedFrom: 4,
        terms: [0, 1, 2].map(i => ({
          lease: {
            instance: members[(slice + 17 * i) % members.length].instance,
            generation: 3,
          },
          epoch: 4 + i,
        })),
      })),
    };
    return JSON.parse(JSON.stringify(chunk)) as Chunk;
  });
}
