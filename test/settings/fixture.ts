import type {
  AcceptedConfiguration,
  Configuration,
} from '../../src/model/index.js';
import {loadConfiguration} from '../../src/settings/index.js';

/** Sites of one configuration; the deadline tells configurations apart. */
export function sites(
  deadlineMs: number,
  service: object = {},
): readonly Configuration[] {
  const rota = {
    pathPrefix: '/rota/',
    key: {path: '/rota/{key}'},
    deadlineMs,
    ...service,
  };
  const base = {file: 'b', text: JSON.stringify({services: {rota}})};
  const loaded = loadConfiguration(base, [{file: 'o', text: '{"site": "x"}'}]);
  if (loaded.kind === 'rejected') throw new RangeError('not a configuration');
  return loaded.sites;
}

/** An accepted configuration of a version. */
export function accepted(version: number, service = {}): AcceptedConfiguration {
  return {
    version,
    change: `change-${version}`,
    author: 'a',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    sites: sites(version, service),
  };
}
