/** A prompt with this text ends the engine stand-in's process, as a crashing request does. */
export const CRASH_MARK = 'CRASH-THE-ENGINE';
