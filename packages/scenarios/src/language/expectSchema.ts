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
    /** Labels that may occur. */
    only: z.array(label).min(1).optional(),
    atLeast: limits.optional(),
    atMost: limits.optional(),
    /** Codes that typed errors may have. */
    codes: z.array(z.string()).optional(),
    firstByteWithinMs: withinMs.optional(),
    answeredWithinMs: withinMs.optional(),
    answeredAfterMs: withinMs.optional(),
    /** Longest time without an event in a stream. */
    maxGapMs: withinMs.optional(),
    /** Total attempts of all calls. */
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
    /** Total runs of all calls. */
    total: z
      .strictObject({ atLeast: z.int().min(0).optional(), atMost: z.int().min(0).optional() })
      .optional(),
    /** Whether every completed call must have run. */
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
    /** Whether the marker must not be sent between processes of different regions. */
    neverBetweenRegions: z.boolean().default(false),
    /** Processes that must neither send nor receive the marker. */
    neverAt: z.array(nameSchema).default([]),
    /** Processes that must send or receive the marker, which shows that the search works. */
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
    /** Entry hosts to check. All entry hosts when absent. */
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
