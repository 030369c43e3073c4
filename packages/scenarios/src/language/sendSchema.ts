import { z } from 'zod';
import { durationSchema } from './durationSchema.js';
import { nameSchema } from './nameSchema.js';

/** Fields of `send` and `crashRequest`. */
export const sendFields = {
  /** Name by which later steps refer to the calls. */
  id: nameSchema,
  /** Entry host, or entry hosts of which the first reachable one is used. */
  via: z.union([nameSchema, z.array(nameSchema).min(1)], {
    error: 'must be an entry host or a list of them',
  }),
  /** `workshop`, or `workshop-{region}` for a customer bound to that region. */
  customer: nameSchema.default('workshop'),
  /** Region of the caller. The region of the first entry host when absent. */
  from: nameSchema.optional(),
  rank: z.enum(['urgent', 'patient']).optional(),
  homeRegion: nameSchema.optional(),
  deadlineMs: z.int().min(1).optional(),
  count: z.int().min(1).max(5_000).default(1),
  concurrency: z.int().min(1).max(500).default(50),
  /** Time over which the calls start, at moments chosen by the seed. */
  spreadMs: z.int().min(0).max(600_000).default(0),
  /** Goes on with the next step at once. */
  background: z.boolean().default(false),
  /** Times that a call which did not complete is sent again, to the next entry host. */
  resend: z.int().min(0).max(20).default(0),
  resendAfterMs: durationSchema.default(100),
  /** Time after which the caller gives up an attempt. */
  timeoutMs: z.int().min(1).max(600_000).default(15_000),
  /** Tokens of the answer. */
  tokens: z.int().min(1).max(4_096).default(8),
  /** Characters of the prompt. */
  promptCharacters: z.int().min(0).max(1_000_000).default(64),
  /** Text that the prompt or order holds, for `expect` with `marker`. */
  marker: z.string().min(8).optional(),
};

/** Schema of a `send` step. */
export const sendSchema = z.strictObject({
  do: z.literal('send'),
  call: z.enum(['stream', 'plain', 'order', 'status']),
  ...sendFields,
  /** Idempotency key of orders: a permit, a key of the caller's own, one fixed text, or none. */
  key: z
    .union([z.enum(['permit', 'own', 'none']), z.strictObject({ fixed: z.string().min(1) })])
    .default('permit'),
  /** For `status`: the id of the orders that are asked for. */
  of: nameSchema.optional(),
});
