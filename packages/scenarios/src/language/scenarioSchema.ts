import { z } from 'zod';
import { findReferenceProblems } from './findReferenceProblems.js';
import { stepSchema } from './stepSchema.js';

/** Schema of a scenario file. */
export const scenarioSchema = z
  .strictObject({
    /** The behaviour that the scenario checks. */
    description: z.string().min(1),
    /** Features that the scenario needs in addition to serving requests. */
    needs: z.array(z.enum(['orders', 'configuration-commands'])).default([]),
    steps: z.array(stepSchema).min(1),
  })
  .superRefine(({ steps }, context) => {
    findReferenceProblems(steps).forEach(({ path, message }) => {
      context.addIssue({ code: 'custom', path: ['steps', ...path], message });
    });
  });

export type Scenario = z.infer<typeof scenarioSchema>;
