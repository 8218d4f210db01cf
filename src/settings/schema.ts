import {z} from 'zod';
import {settingsSchema} from './daemon.js';
import {siteSchema} from './declaration.js';

/** A JSON Schema document. */
export interface JsonSchema {
  readonly [keyword: string]: unknown;
}

/** A JSON Schema file for editors. */
export interface SchemaFile {
  readonly file: string;
  readonly schema: JsonSchema;
}

/**
 * Generates the JSON Schema files for editors. They do not check rules that
 * involve several fields; `vanillaspoolctl check` does.
 *
 * @example
 * schemaFiles().map(({file}) => file); // ['base.schema.json', ...]
 */
export function schemaFiles(): readonly SchemaFile[] {
  const site = generate(siteSchema);
  return [
    {file: 'base.schema.json', schema: partial(withoutSite(site), false)},
    {file: 'overlay.schema.json', schema: overlaySchema(site)},
    {file: 'settings.schema.json', schema: generate(settingsSchema)},
  ];
}

/**
 * Formats a schema as the text of its file.
 *
 * @example
 * formatSchema({type: 'object'}); // '{\n  "type": "object"\n}\n'
 */
export function formatSchema(schema: JsonSchema): string {
  return JSON.stringify(schema, undefined, 2) + '\n';
}

function generate(schema: z.ZodType): JsonSchema {
  const generated = z.toJSONSchema(schema, {
    io: 'input',
    target: 'draft-07',
    unrepresentable: 'any',
  }) as JsonSchema;
  const properties = {
    $schema: {type: 'string'},
    ...(generated.properties as JsonSchema),
  };
  return {...generated, properties};
}

function withoutSite(schema: JsonSchema): JsonSchema {
  const all = Object.entries(schema.properties as JsonSchema);
  const properties = all.filter(([name]) => name !== 'site');
  return {...schema, properties: Object.fromEntries(properties)};
}

function overlaySchema(schema: JsonSchema): JsonSchema {
  const {type, ...rest} = partial(schema, true);
  const {site} = schema.properties as JsonSchema;
  const properties = {...(rest.properties as JsonSchema), site};
  return {...rest, type: typeOf(type, false), properties, required: ['site']};
}

/** Removes all `required` keywords; allows null everywhere if `nullable`. */
function partial(schema: JsonSchema, nullable: boolean): JsonSchema {
  const entries = Object.entries(schema)
    .filter(([keyword]) => keyword !== 'required')
    .map(([keyword, value]) => [
      keyword,
      partialPart(keyword, value, nullable),
    ]);
  return Object.fromEntries(entries) as JsonSchema;
}

function partialPart(keyword: string, value: unknown, nullable: boolean) {
  switch (keyword) {
    case 'type':
      return typeOf(value, nullable);
    case 'enum':
      return nullable ? [...(value as readonly unknown[]), null] : value;
    case 'properties':
      return mapProperties(value as JsonSchema, nullable);
    case 'additionalProperties':
      return typeof value === 'object'
        ? partial(value as JsonSchema, nullable)
        : value;
    default:
      return value;
  }
}

function mapProperties(properties: JsonSchema, nullable: boolean): JsonSchema {
  const entries = Object.entries(properties).map(([name, part]) => [
    name,
    partial(part as JsonSchema, nullable),
  ]);
  return Object.fromEntries(entries) as JsonSchema;
}

function typeOf(type: unknown, nullable: boolean): unknown {
  if (nullable) return [type, 'null'];
  return Array.isArray(type) ? type[0] : type;
}
