import {readFileSync} from 'node:fs';
import test from 'ava';
import {
  loadConfiguration,
  parseText,
  plainValue,
} from '../../src/settings/index.js';

const ROOT = new URL('../../../examples/', import.meta.url);

interface Deployment {
  readonly site: string;
  readonly domains: readonly string[];
  readonly slots: number;
  readonly connections: number;
  readonly instances: readonly {
    readonly name: string;
    readonly service: string;
    readonly domain: string;
  }[];
}

function source(file: string) {
  return {file, text: readFileSync(new URL(file, ROOT), 'utf8')};
}

for (const [name, sizes] of [
  ['newsroom', {slots: 12, connections: 130, min: 4, max: 6}],
  ['rental', {slots: 6, connections: 110, min: 4, max: 5}],
] as const) {
  test(`the ${name} deployment has the expected sizes`, t => {
    const {file, text} = source(`${name}/deployment.jsonc`);
    const deployment = plainValue(parseText(file, text).tree!) as Deployment;
    const {site, domains, instances, slots, connections} = deployment;
    const loaded = loadConfiguration(source(`${name}/base.jsonc`), [
      source(`${name}/${site}.jsonc`),
    ]);
    const services = loaded.kind === 'loaded' ? loaded.sites[0].services : [];
    t.is(services.length, 4);
    t.is(domains.length, 4);
    t.deepEqual(
      {slots, connections},
      {
        slots: sizes.slots,
        connections: sizes.connections,
      },
    );
    t.is(new Set(instances.map(i => i.name)).size, instances.length);
    for (const service of services) {
      const own = instances.filter(i => i.service === service.name);
      t.true(own.length >= sizes.min && own.length <= sizes.max);
      t.is(new Set(own.map(i => i.domain)).size, 4);
    }
  });
}
