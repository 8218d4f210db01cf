import type {
  AcceptedConfiguration,
  Configuration,
} from '../../src/model/index.js';
import {loadConfiguration} from '../../src/settings/index.js';

/** Creates the sites of a configuration that is identified by its deadline. */
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
  if (loaded.kind === 'rejected')
    throw new RangeError('the fixture configuration was rejected');
  return loaded.sites;
}

/** Creates an accepted configuration with a version. */
export function accepted(version: number, service = {}): AcceptedConfiguration {
  return {
    version,
    change: `change-${version}`,
    author: 'a',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    sites: sites(version, service),
  };
}
