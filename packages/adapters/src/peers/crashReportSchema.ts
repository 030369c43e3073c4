import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type {
  CrashReport,
  Fingerprint,
  Incarnation,
  PromptPartKey,
  ServerId,
} from '@camphorbarrow/core';

const MAX_FINGERPRINTS = 1_024;
const fingerprints = z
  .array(
    z
      .string()
      .regex(/^[0-9a-f]{64}$/)
      .transform((text) => asId<Fingerprint>(text)),
  )
  .max(MAX_FINGERPRINTS);

const promptPartKeys = z
  .array(
    z
      .string()
      .regex(/^[0-9a-f]{16}$/)
      .transform((text) => asId<PromptPartKey>(text)),
  )
  .max(MAX_FINGERPRINTS);

/** Wire form of a crash report. */
export const crashReportSchema = z.object({
  serverId: z.string().transform((id) => asId<ServerId>(id)),
  incarnation: z.string().transform((id) => asId<Incarnation>(id)),
  running: fingerprints,
  suspects: fingerprints,
  parts: promptPartKeys.optional(),
  trialParts: promptPartKeys.optional(),
}) satisfies z.ZodType<CrashReport>;
