import type { JsonSchema } from './JsonSchema.js';

const FORMATS: Readonly<Record<string, string>> = {
  uri: 'an http or https URL',
  ipv4: 'an IPv4 address',
  ipv6: 'an IPv6 address',
  'date-time': 'a time in UTC such as 2030-01-31T12:00:00Z',
};

function describeRange(schema: JsonSchema): string {
  const { minimum, exclusiveMinimum, maximum } = schema;
  const isBounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  if (minimum !== undefined && isBounded) {
    return ` from ${minimum} to ${maximum}`;
  }
  const inclusiveLower = minimum === undefined ? '' : ` of at least ${minimum}`;
  const lower = exclusiveMinimum === undefined ? inclusiveLower : ` above ${exclusiveMinimum}`;
  return isBounded ? `${lower} up to ${maximum}` : lower;
}

function describeText({ format, pattern, minLength, maxLength }: JsonSchema): string {
  if (format !== undefined && format in FORMATS) {
    return FORMATS[format] as string;
  }
  if (pattern !== undefined) {
    return `text matching /${pattern}/`;
  }
  const lower = minLength === undefined ? '' : ` of at least ${minLength} characters`;
  const upper = maxLength === undefined ? '' : ` of at most ${maxLength} characters`;
  return minLength !== undefined && maxLength !== undefined
    ? `text of ${minLength} to ${maxLength} characters`
    : `text${lower}${upper}`;
}

function describeObject({ properties }: JsonSchema): string {
  return properties === undefined
    ? 'an object with one entry per name'
    : `an object with the fields ${Object.keys(properties).join(', ')}`;
}

/** Describes in words which values a schema allows. */
export function allowedValues(schema: JsonSchema): string {
  const options = schema.anyOf ?? schema.oneOf;
  if (options !== undefined) {
    return [...new Set(options.map((option) => allowedValues(option as JsonSchema)))].join(' or ');
  }
  const values = schema.enum ?? (schema.const === undefined ? undefined : [schema.const]);
  if (values !== undefined) {
    return `one of ${values.map((value) => JSON.stringify(value)).join(', ')}`;
  }
  switch (schema.type) {
    case 'integer':
      return `an integer${describeRange(schema)}`;
    case 'number':
      return `a number${describeRange(schema)}`;
    case 'boolean':
      return 'true or false';
    case 'string':
      return describeText(schema);
    case 'array':
      return schema.maxItems === undefined
        ? 'a list'
        : `a list of at most ${schema.maxItems} items`;
    case 'object':
      return describeObject(schema);
    default:
      return 'any value';
  }
}
