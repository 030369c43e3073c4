const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export interface SplitEvents {
  /** Whole events, with the empty lines that end them. */
  readonly completeEvents: Buffer;
  /** Begin of an event that is not complete yet. */
  readonly remainder: Buffer;
  /** Id of the last whole event; undefined when none of them has one. */
  readonly lastEventId: string | undefined;
  /** Number of whole events that have an id. */
  readonly eventCount: number;
}

/** Offset behind the last empty line, or 0. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (before >= 0 && bytes[before] === LINE_FEED) {
        return index + 1;
      }
    }
  }
  return 0;
}

/** Parts bytes of an event stream into whole events and the begin of the next one. */
export function splitEvents(bytes: Buffer): SplitEvents {
  const end = endOfLastEvent(bytes);
  const whole = bytes.subarray(0, end);
  const ids = [...whole.toString('latin1').matchAll(/^id: ?(.*?)\r?$/gm)];
  return {
    completeEvents: whole,
    remainder: bytes.subarray(end),
    lastEventId: ids.at(-1)?.[1],
    eventCount: ids.length,
  };
}
