// Bundles the daemon for the platform into one file, which starts faster than
// the modules one by one.
import {build} from 'esbuild';

// Libraries in CommonJS form call require.
const banner =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/vanillaspool.mjs',
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  // Prefers ES modules, which can be bundled in parts.
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'esm',
  banner: {js: banner},
  logLevel: 'warning',
});
