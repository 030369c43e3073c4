import { z } from 'zod';
import { durationSchema } from './durationSchema.js';
import { nameSchema } from './nameSchema.js';

/** Fields that `send` and `crashRequest` steps share. */
export const sendFields = {
  /** Name by which later steps refer to the calls. */
  id: nameSchema,
  /** Entry host, or several of which the first available one is used. */
  via: z.union([nameSchema, z.array(nameSchema).min(1)], {
    error: 'must be an entry host or a list of them',
  }),
  /** `workshop`, or `workshop-{region}` for a customer with that home region. */
  customer: nameSchema.default('workshop'),
  /** Region of the caller. The region of the first entry host in `via` when absent. */
  from: nameSchema.optional(),
  rank: z.enum(['urgent', 'patient']).optional(),
  homeRegion: nameSchema.optional(),
  deadlineMs: z.int().min(1).optional(),
  count: z.int().min(1).max(5_000).default(1),
  concurrency: z.int().min(1).max(500).default(50),
  /** Period in which the calls start, at times drawn with the run's seed. */
  spreadMs: z.int().min(0).max(600_000).default(0),
  /** Whether the next step begins without waiting for the calls. */
  background: z.boolean().default(false),
  /** Retries of a call that did not complete, each at the next entry host. */
  resend: z.int().min(0).max(20).default(0),
  resendAfterMs: durationSchema.default(100),
  /** Time after which the caller cancels an attempt. */
  timeoutMs: z.int().min(1).max(600_000).default(15_000),
  /** Tokens of the response. */
  tokens: z.int().min(1).max(4_096).default(8),
  /** Characters of the prompt. */
  promptCharacters: z.int().min(0).max(1_000_000).default(64),
  /** Text that the prompt or order contains, for `expect` steps that search for a marker. */
  marker: z.string().min(8).optional(),
};

/** Schema of a `send` step. */
export const sendSchema = z.strictObject({
  do: z.literal('send'),
  /** `plain` is an inference call without streaming, `status` a status check of an order. */
  call: z.enum(['stream', 'plain', 'order', 'status']),
  ...sendFields,
  /** Idempotency key of orders: a permit, a key that the caller generates, a fixed one, or none. */
  key: z
    .union([z.enum(['permit', 'own', 'none']), z.strictObject({ fixed: z.string().min(1) })])
    .default('permit'),
  /** For `status`: id of the `send` step whose orders are checked. */
  of: nameSchema.optional(),
});
