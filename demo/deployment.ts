import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'jsonc-parser';

/** One instance of a deployment: a daemon and its upstream. */
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

/** What the demo needs to know of a declared service. */
export interface DeclaredService {
  readonly pathPrefix: string;
  readonly key?: {readonly path?: string};
  readonly slices?: number;
  readonly fencing?: 'enforced' | 'ignored';
}

/** A base file, by the names of its services. */
export interface Base {
  readonly services: Readonly<Record<string, DeclaredService>>;
}

/** One directory of examples. */
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
 * @throws {RangeError} when there is no such example.
 *
 * @example
 * readExample('newsroom').deployment.instances.length;
 */
export function readExample(name: string): Example {
  if (!/^[a-z-]+$/.test(name)) throw new RangeError(`no example: ${name}`);
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
    throw new RangeError(`no example is named ${name}`, {cause});
  }
}
