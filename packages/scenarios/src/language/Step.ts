import type { z } from 'zod';
import type { stepSchema } from './stepSchema.js';

/** One step of a scenario. */
export type Step = z.infer<typeof stepSchema>;

/** Steps with the given verbs. */
export type StepOf<Verb extends Step['do']> = Extract<Step, { do: Verb }>;

/** `expect` steps of one kind. */
export type ExpectationOf<Kind extends StepOf<'expect'>['that']> = Extract<
  StepOf<'expect'>,
  { that: Kind }
>;
