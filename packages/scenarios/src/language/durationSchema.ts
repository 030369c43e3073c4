import { z } from 'zod';

const milliseconds = z.int().min(0).max(600_000);

/** Milliseconds, or a range from which a duration is drawn with the run's seed. */
export const durationSchema = z.union([milliseconds, z.tuple([milliseconds, milliseconds])], {
  error: 'must be milliseconds or [least, most]',
});
