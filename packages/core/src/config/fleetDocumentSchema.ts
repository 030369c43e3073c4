import { z } from 'zod';
import { exceptionSchema } from './exceptionSchema.js';
import { fleetDefaultsSchema } from './fleetDefaultsSchema.js';

const historyEntrySchema = z.strictObject({
  version: z.int().positive(),
  changeId: z.string(),
  author: z.string(),
  summary: z.string(),
  changedAt: z.iso.datetime(),
});

/** Schema of the configuration document in the platform's key-value service. */
export const fleetDocumentSchema = z.strictObject({
  version: z.int().positive(),
  changeId: z.string().min(1),
  defaults: fleetDefaultsSchema,
  exceptions: z.array(exceptionSchema).max(200).default([]),
  history: z.array(historyEntrySchema).default([]),
});
