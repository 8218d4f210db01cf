/** A service of the configuration. */
export interface ServiceOptions {
  readonly name: string;
  readonly sharded: boolean;
}

/** A route of the configuration. */
export interface RouteOptions {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent';
  readonly service: string;
  readonly timeoutS: number;
}

/** Returns the configuration as the operator writes it. */
export function configurationOf(
  version: number,
  services: readonly ServiceOptions[],
  routes: readonly RouteOptions[],
): unknown {
  return {
    version,
    routes: {
      columns: [
        'name',
        'host',
        'path_prefix',
        'kind',
        'timeout_s',
        'target_latency_s',
        'priority',
        'traffic_split',
        'max_attempts',
        'service',
      ],
      rows: routes.map(route => [
        route.name,
        route.host,
        route.prefix,
        route.kind,
        route.timeoutS,
        route.timeoutS / 2,
        2,
        null,
        2,
        route.service,
      ]),
    },
    services: {
      columns: ['name', 'sharded', 'health_path', 'max_connections'],
      rows: services.map(({name, sharded}) => [name, sharded, '/healthz', 110]),
    },
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 8388608,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  };
}

/** Waits for a time in milliseconds. */
export function sleep(timeMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, timeMs));
}

/** Returns random numbers from 0 to less than 1 for a seed. */
export function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
  };
}
