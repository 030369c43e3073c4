import { z } from 'zod';
import { peerDescriptionSchema } from '@camphorbarrow/core';
import type { Heartbeat } from '@camphorbarrow/core';

/** Wire form of a heartbeat. */
export const heartbeatSchema = z.object({
  sender: peerDescriptionSchema,
  known: z.array(peerDescriptionSchema).max(256),
}) satisfies z.ZodType<Heartbeat>;
