import type { JsonSchema } from './JsonSchema.js';

function childSchema(schema: JsonSchema, segment: PropertyKey): JsonSchema | undefined {
  const options = (schema.anyOf ?? schema.oneOf) as readonly JsonSchema[] | undefined;
  const found = options
    ?.map((option) => childSchema(option, segment))
    .find((child) => child !== undefined);
  if (found !== undefined) {
    return found;
  }
  const next =
    typeof segment === 'number'
      ? schema.items
      : (schema.properties?.[String(segment)] ?? schema.additionalProperties);
  return typeof next === 'object' && !Array.isArray(next) ? (next as JsonSchema) : undefined;
}

/** The part of a schema at a path; undefined when the schema has no such field. */
export function schemaAt(root: JsonSchema, path: readonly PropertyKey[]): JsonSchema | undefined {
  return path.reduce<JsonSchema | undefined>(
    (schema, segment) => (schema === undefined ? undefined : childSchema(schema, segment)),
    root,
  );
}
