import { z } from 'zod';
import { exceptionInputSchema } from './exceptionInputSchema.js';

const MAX_EXCEPTIONS = 200;

/** Schema of an exceptions file: a list of exceptions with unique ids. */
export const exceptionsFileSchema = z
  .array(exceptionInputSchema)
  .max(MAX_EXCEPTIONS)
  .superRefine((exceptions, context) => {
    const seen = new Set<string>();
    exceptions.forEach(({ id }, index) => {
      if (seen.has(id)) {
        context.addIssue({
          code: 'custom',
          path: [index, 'id'],
          message: 'duplicates the id of an earlier exception',
        });
      }
      seen.add(id);
    });
  });
