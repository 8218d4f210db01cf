import type {Service} from '../model/index.js';

/**
 * Returns the number of slices that each chunk of a service holds.
 *
 * @throws {RangeError} when the chunks do not divide the slices.
 *
 * @example
 * slicesPerChunk({...service, slices: 64, chunks: 4}); // 16
 */
export function slicesPerChunk(service: Service): number {
  const perChunk = service.slices / service.chunks;
  if (!Number.isInteger(perChunk) || perChunk < 1) {
    throw new RangeError(
      `${service.name}: ${service.slices} slices in ${service.chunks} chunks`,
    );
  }
  return perChunk;
}

/**
 * Returns the index of the chunk that holds a slice. Chunks are contiguous
 * ranges of slices.
 *
 * @example
 * chunkOfSlice({...service, slices: 64, chunks: 4}, 17); // 1
 */
export function chunkOfSlice(service: Service, slice: number): number {
  return Math.floor(slice / slicesPerChunk(service));
}

/**
 * Lists the slices of a chunk, in ascending order.
 *
 * @throws {RangeError} when the service has no such chunk.
 *
 * @example
 * slicesOfChunk({...service, slices: 8, chunks: 4}, 1); // [2, 3]
 */
export function slicesOfChunk(
  service: Service,
  index: number,
): readonly number[] {
  if (!Number.isInteger(index) || index < 0 || index >= service.chunks) {
    throw new RangeError(`${service.name} has no chunk ${index}`);
  }
  const perChunk = slicesPerChunk(service);
  return Array.from({length: perChunk}, (_, i) => index * perChunk + i);
}
