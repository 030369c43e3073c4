import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type {
  HostBurnCounts,
  HostId,
  RegionId,
  ServiceClass,
  ServiceResult,
} from '@camphorbarrow/core';

const classes = ['urgent', 'patient', 'order', 'status'] as const satisfies ServiceClass[];
const results = [
  'good',
  'late-first-token',
  'slow-tokens',
  'refused-overload',
  'refused-no-server',
  'failed',
  'incomplete',
  'outcome-unknown',
  'caller',
] as const satisfies ServiceResult[];
const MAX_MINUTES = 1_000;

/** Wire form of one entry host's burn counters. */
export const hostBurnSchema = z.object({
  hostId: z.string().transform((id) => asId<HostId>(id)),
  regionId: z.string().transform((id) => asId<RegionId>(id)),
  startedAtMs: z.number(),
  minutes: z
    .array(
      z.object({
        minute: z.int().min(0),
        counts: z.partialRecord(z.enum(classes), z.partialRecord(z.enum(results), z.int().min(0))),
      }),
    )
    .max(MAX_MINUTES),
}) as unknown as z.ZodType<HostBurnCounts>;
