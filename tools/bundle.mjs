// Bundles the daemon for the platform into one file, which loads faster than
// separate modules.
import {build} from 'esbuild';
import {fileURLToPath} from 'node:url';

// Bundled CommonJS libraries call require, which ES modules do not define.
const banner =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

// Replaces modules of libraries by the parts that the daemon uses.
const usedParts = {
  name: 'used-parts',
  setup: ({onResolve}) => {
    const replace = (filter, file) => {
      const path = fileURLToPath(new URL(file, import.meta.url));
      onResolve({filter}, () => ({path}));
    };
    replace(/^undici$/, './undici-client.mjs');
    replace(/\/client-h2\.js$/, './http2-client.cjs');
    replace(/^prom-client$/, './prom-client.mjs');
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/vanillaspool.mjs',
  bundle: true,
  plugins: [usedParts],
  minifySyntax: true,
  platform: 'node',
  // Prefers ES modules, whose unused exports can be left out of the bundle.
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'esm',
  banner: {js: banner},
  logLevel: 'warning',
});
