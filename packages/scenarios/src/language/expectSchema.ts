import { z } from 'zod';
import { CALL_LABELS } from '../history/CallLabel.js';
import { nameSchema } from './nameSchema.js';

const label = z.enum(CALL_LABELS);
const limits = z.partialRecord(label, z.int().min(0));
const withinMs = z.int().min(0).max(600_000);
const step = { do: z.literal('expect') };

/** Schema of an `expect` step. */
export const expectSchema = z.discriminatedUnion('that', [
  z.strictObject({
    ...step,
    that: z.literal('calls'),
    /** Id of a `send` step. */
    calls: nameSchema,
    /** The only labels that may occur. */
    only: z.array(label).min(1).optional(),
    atLeast: limits.optional(),
    atMost: limits.optional(),
    /** Codes that every typed error must have one of. */
    codes: z.array(z.string()).optional(),
    firstByteWithinMs: withinMs.optional(),
    answeredWithinMs: withinMs.optional(),
    answeredAfterMs: withinMs.optional(),
    /** Longest silence inside a stream. */
    maxGapMs: withinMs.optional(),
    /** Attempts of all calls together. */
    maxAttempts: z.int().min(1).optional(),
  }),
  z.strictObject({
    ...step,
    that: z.literal('executed'),
    calls: nameSchema,
    /** Runs of each call. */
    each: z
      .strictObject({ atLeast: z.int().min(0).optional(), atMost: z.int().min(0).optional() })
      .optional(),
    /** Runs of all calls together. */
    total: z
      .strictObject({ atLeast: z.int().min(0).optional(), atMost: z.int().min(0).optional() })
      .optional(),
    /** Every call that completed ran. */
    completedRan: z.boolean().optional(),
  }),
  z.strictObject({
    ...step,
    that: z.literal('noWorkAfterLeaving'),
    server: nameSchema,
    afterMs: withinMs.default(3_000),
  }),
  z.strictObject({
    ...step,
    that: z.literal('marker'),
    marker: z.string().min(8),
    /** Not sent between processes of different regions. */
    neverBetweenRegions: z.boolean().default(false),
    /** Not sent to or by these processes. */
    neverAt: z.array(nameSchema).default([]),
    /** Sent to these processes, which shows that the search works. */
    seenAt: z.array(nameSchema).default([]),
  }),
  z.strictObject({
    ...step,
    that: z.literal('exit'),
    target: nameSchema,
    code: z.int(),
    withinMs: withinMs.default(10_000),
  }),
  z.strictObject({
    ...step,
    that: z.literal('running'),
    target: nameSchema,
  }),
  z.strictObject({
    ...step,
    that: z.literal('configVersion'),
    /** All running entry hosts when absent. */
    hosts: z.array(nameSchema).optional(),
    atLeast: z.int().min(1),
    withinMs: withinMs.default(6_000),
  }),
  z.strictObject({
    ...step,
    that: z.literal('entryHosts'),
    via: nameSchema,
    lists: z.array(nameSchema).default([]),
    excludes: z.array(nameSchema).default([]),
    withinMs: withinMs.default(6_000),
  }),
  z.strictObject({
    ...step,
    that: z.literal('race'),
    /** Id of a `race` step. */
    race: nameSchema,
    /** Exit codes of the commands, in any order. */
    exitCodes: z.array(z.int()),
  }),
]);
