import type { z } from 'zod';
import type { JsonSchema } from './JsonSchema.js';
import { allowedValues } from './allowedValues.js';
import { schemaAt } from './schemaAt.js';
import { unitOf } from './unitOf.js';

/** A validation problem, with details that help to correct it. */
export interface DescribedIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  /**
   * The value found, or "hidden" for a secret; undefined when it is missing or must not be shown.
   */
  readonly value: string | undefined;
  readonly unit: string | undefined;
  readonly allowed: string | undefined;
}

/** Fields whose value is a key, or may be one by mistake. Their values are never shown. */
const SECRET_FIELD = /^secrets$|key(s|sha256)?$/i;
const MAX_SHOWN_CHARACTERS = 60;

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[segment]
        : undefined,
    root,
  );
}

function formatValue(value: unknown, path: readonly PropertyKey[]): string | undefined {
  if (value === undefined) {
    return undefined;
  }
  if (path.some((segment) => SECRET_FIELD.test(String(segment)))) {
    return 'hidden';
  }
  if (typeof value === 'object' && value !== null) {
    return Array.isArray(value) ? 'a list' : 'an object';
  }
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}...` : text;
}

/** Adds the field's value, unit and allowed values to an issue reported by zod. */
export function describeIssue(
  issue: z.core.$ZodIssue,
  root: unknown,
  schema: JsonSchema,
): readonly DescribedIssue[] {
  const { path } = issue;
  const field = schemaAt(schema, path);
  const allowed = field === undefined ? undefined : allowedValues(field);
  if (issue.code === 'unrecognized_keys') {
    // The value of an unknown field is not shown, because it may be a misplaced key.
    return issue.keys.map((key) => ({
      path: [...path, key],
      message: `Unrecognized key: ${JSON.stringify(key)}`,
      value: undefined,
      unit: undefined,
      allowed,
    }));
  }
  if (issue.code === 'invalid_key') {
    const nameSchema = schemaAt(schema, path.slice(0, -1))?.propertyNames as JsonSchema | undefined;
    const allowedNames = nameSchema === undefined ? undefined : allowedValues(nameSchema);
    const value = JSON.stringify(String(path.at(-1)));
    return [{ path, message: 'Invalid name', value, unit: undefined, allowed: allowedNames }];
  }
  const found = valueAt(root, path);
  return [
    {
      path,
      message: found === undefined ? 'The field is missing' : issue.message,
      value: formatValue(found, path),
      unit: unitOf(String(path.at(-1) ?? '')),
      allowed,
    },
  ];
}
