import { z } from 'zod';
import { deploymentSchema } from './deploymentSchema.js';
import { durationSchema } from './durationSchema.js';
import { expectSchema } from './expectSchema.js';
import { nameSchema } from './nameSchema.js';
import { sendFields, sendSchema } from './sendSchema.js';
import { targetSchema } from './targetSchema.js';

const selector = z.union([nameSchema, z.literal('*')], {
  error: 'must be a process, a region or "*"',
});
const link = { from: selector, to: selector };
const delayMs = z.int().min(0).max(600_000);

/** Schema of one step of a scenario. */
export const stepSchema = z.discriminatedUnion('do', [
  z.strictObject({ do: z.literal('start'), deployment: deploymentSchema }),
  sendSchema,
  z.strictObject({ do: z.literal('crashRequest'), ...sendFields }),
  z.strictObject({
    do: z.literal('wait'),
    forMs: durationSchema.optional(),
    /** Id of a `send` step with `background`. */
    calls: nameSchema.optional(),
    /** `answered`: all calls have ended; `streaming`: all calls have received a first byte. */
    until: z.enum(['answered', 'streaming']).default('answered'),
  }),
  z.strictObject({
    do: z.enum(['kill', 'freeze', 'thaw', 'restart', 'drain', 'leave', 'removeFromHostList']),
    target: targetSchema,
  }),
  z.strictObject({
    do: z.literal('cut'),
    id: nameSchema,
    ...link,
    mode: z.enum(['silent', 'reset']).default('silent'),
    /** Whether to cut only the direction from `from` to `to`. */
    oneWay: z.boolean().default(false),
  }),
  z.strictObject({ do: z.literal('delay'), id: nameSchema, ...link, delayMs }),
  z.strictObject({ do: z.literal('heal'), id: nameSchema }),
  /** Open connections between both sides stop forwarding for good; new ones work. */
  z.strictObject({ do: z.literal('silence'), ...link }),
  z.strictObject({
    do: z.literal('loseStoreAnswers'),
    /** Number of responses that are lost; all until `restoreStore` when absent. */
    count: z.int().min(1).optional(),
    /** Whether only responses to writes are lost. */
    writesOnly: z.boolean().default(true),
  }),
  z.strictObject({ do: z.literal('stallStore'), delayMs }),
  z.strictObject({ do: z.literal('storeDown') }),
  z.strictObject({ do: z.literal('snapshotStore') }),
  z.strictObject({
    do: z.literal('restoreStore'),
    /** `old` restores the data of the last `snapshotStore`. */
    data: z.enum(['current', 'old']).default('current'),
  }),
  /** Delays the responses of a stand-in. */
  z.strictObject({ do: z.literal('stall'), target: nameSchema, delayMs }),
  z.strictObject({
    do: z.literal('changeConfig'),
    /** Sections of the fleet defaults; written directly to the store as the next version. */
    set: z.record(z.string(), z.record(z.string(), z.unknown())),
  }),
  z.strictObject({
    do: z.literal('race'),
    id: nameSchema,
    /** JSON files for the commands, by name; `{file:NAME}` in an argument is replaced by its path. */
    files: z.record(nameSchema, z.unknown()).default({}),
    /**
     * Arguments of `camphorbarrow`, one list per command; all are started at the same time.
     * `{peer:HOST}` is replaced by a peer URL and `{keyFile:OPERATOR}` by the path of a key file.
     */
    commands: z.array(z.array(z.string()).min(1)).min(1).max(10),
  }),
  expectSchema,
]);
