import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'jsonc-parser';

/** An instance of a deployment: a daemon and its upstream. */
export interface Instance {
  readonly name: string;
  readonly service: string;
  readonly domain: string;
}

/** The instances of a site and the size of their upstreams. */
export interface Deployment {
  readonly site: string;
  readonly region: string;
  readonly slots: number;
  readonly connections: number;
  readonly instances: readonly Instance[];
}

/** The fields of a declared service that the demo uses. */
export interface DeclaredService {
  readonly pathPrefix: string;
  readonly key?: {readonly path?: string};
  readonly slices?: number;
  readonly fencing?: 'enforced' | 'ignored';
}

/** A base configuration file, with its services by name. */
export interface Base {
  readonly services: Readonly<Record<string, DeclaredService>>;
}

/** The contents of one directory of `examples`. */
export interface Example {
  readonly name: string;
  readonly deployment: Deployment;
  readonly base: Base;
  readonly baseFile: string;
  readonly overlayFile: string;
}

/**
 * Reads the example of a deployment.
 *
 * @throws {RangeError} when the example does not exist or cannot be read.
 *
 * @example
 * readExample('newsroom').deployment.instances.length;
 */
export function readExample(name: string): Example {
  if (!/^[a-z-]+$/.test(name))
    throw new RangeError(`invalid example name: ${name}`);
  const directory = new URL(`../examples/${name}/`, import.meta.url);
  const fileOf = (file: string) => fileURLToPath(new URL(file, directory));
  const deployment = readJson<Deployment>(name, fileOf('deployment.jsonc'));
  const baseFile = fileOf('base.jsonc');
  const base = readJson<Base>(name, baseFile);
  const overlayFile = fileOf(`${deployment.site}.jsonc`);
  return {name, deployment, base, baseFile, overlayFile};
}

function readJson<T>(name: string, file: string): T {
  try {
    return parse(readFileSync(file, 'utf8')) as T;
  } catch (cause) {
    throw new RangeError(`cannot read the files of example ${name}`, {cause});
  }
}
