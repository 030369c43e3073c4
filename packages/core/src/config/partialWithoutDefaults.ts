import { z } from 'zod';

type WithoutDefault<Field> =
  Field extends z.ZodDefault<infer Inner>
    ? Inner
    : Field extends z.ZodPrefault<infer Inner>
      ? Inner
      : Field;

type OptionalFields<Shape> = {
  [Key in keyof Shape]: WithoutDefault<Shape[Key]> extends z.core.SomeType
    ? z.ZodOptional<WithoutDefault<Shape[Key]>>
    : never;
};

function withoutDefault(field: z.ZodType): z.ZodType {
  return field instanceof z.ZodDefault || field instanceof z.ZodPrefault
    ? (field.unwrap() as z.ZodType)
    : field;
}

/**
 * Schema of a group of fleet defaults with every field optional and without default values. zod
 * applies a field's default even inside `optional()`, so `partial()` alone would add unset fields.
 */
export function partialWithoutDefaults<Shape extends z.core.$ZodLooseShape>(
  group: z.ZodPrefault<z.ZodObject<Shape>>,
): z.ZodOptional<z.ZodObject<OptionalFields<Shape>, z.core.$strict>> {
  const fields = Object.entries(group.unwrap().shape as Record<string, z.ZodType>).map(
    ([name, field]) => [name, withoutDefault(field).optional()],
  );
  const shape = Object.fromEntries(fields) as OptionalFields<Shape>;
  return z.strictObject(shape).optional() as never;
}
