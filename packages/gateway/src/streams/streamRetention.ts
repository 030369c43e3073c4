/**
 * Time for which a stream may go on after its first event, over all tries of its caller. Versions of
 * servers and of streams are remembered for as long.
 */
export const STREAM_RETENTION_MS = 120_000;
