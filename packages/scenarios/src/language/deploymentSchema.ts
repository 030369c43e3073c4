import { z } from 'zod';
import { nameSchema } from './nameSchema.js';

const count = z.int().min(0).max(20);
const options = z.record(z.string(), z.union([z.number(), z.string(), z.boolean()]));

/** Schema of the deployment of a `start` step. */
export const deploymentSchema = z.strictObject({
  regions: z
    .array(
      z.strictObject({
        name: nameSchema,
        entryHosts: count,
        engines: count,
        orderingServers: count.default(0),
      }),
    )
    .min(1),
  models: z.array(nameSchema).min(1).default(['layout-large']),
  /** Options of every engine stand-in. */
  engineOptions: options.optional(),
  /** Options of every ordering server stand-in. */
  orderingOptions: options.optional(),
  /** Delay until entry hosts see a change of the host list. */
  hostListLagMs: z.int().min(0).optional(),
  /** `drain` settings of every entry host. */
  drain: z.record(z.string(), z.number()).optional(),
  /** Sections of the fleet defaults. */
  defaults: z.record(z.string(), z.record(z.string(), z.unknown())).optional(),
  network: z
    .strictObject({
      /** One-way delay between regions. */
      regionDelayMs: z.int().min(0).max(1_000).default(20),
    })
    .prefault({}),
});
