/** A prompt that contains this text makes the engine stand-in exit, to simulate a crash. */
export const CRASH_MARK = 'CRASH-THE-ENGINE';
