// Writes the JSON Schema files that editors use. Requires a build.
import {writeFileSync} from 'node:fs';
import {formatSchema, schemaFiles} from '../build/src/settings/index.js';

for (const {file, schema} of schemaFiles()) {
  writeFileSync(`schema/${file}`, formatSchema(schema));
}
