// Bundles the daemon for the platform into one file, which loads faster than
// separate modules.
import {build} from 'esbuild';

// Bundled CommonJS libraries call require, which ES modules do not define.
const banner =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/vanillaspool.mjs',
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  // Prefers ES modules, whose unused exports can be left out of the bundle.
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'esm',
  banner: {js: banner},
  logLevel: 'warning',
});
