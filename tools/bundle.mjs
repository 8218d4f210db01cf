// Bundles the daemon for the platform into one file, which loads faster than
// separate modules.
import {build} from 'esbuild';
import {fileURLToPath} from 'node:url';

// Bundled CommonJS libraries call require, which ES modules do not define.
const banner =
  "import {createRequire} from 'node:module';" +
  'const require = createRequire(import.meta.url);';

const undiciClient = {
  name: 'undici-client',
  setup: ({onResolve}) => {
    const path = fileURLToPath(new URL('./undici-client.mjs', import.meta.url));
    onResolve({filter: /^undici$/}, () => ({path}));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/vanillaspool.mjs',
  bundle: true,
  plugins: [undiciClient],
  minifySyntax: true,
  platform: 'node',
  // Prefers ES modules, whose unused exports can be left out of the bundle.
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'esm',
  banner: {js: banner},
  logLevel: 'warning',
});
