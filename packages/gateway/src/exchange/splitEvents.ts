const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export interface EventSplit {
  /** Whole events, with the empty lines that end them. */
  readonly whole: Buffer;
  /** Begin of an event that is not complete yet. */
  readonly rest: Buffer;
  /** Id of the last whole event; undefined when none of them has one. */
  readonly lastEventId: string | undefined;
  /** Number of whole events that have an id. */
  readonly count: number;
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
export function splitEvents(bytes: Buffer): EventSplit {
  const end = endOfLastEvent(bytes);
  const whole = bytes.subarray(0, end);
  const ids = [...whole.toString('latin1').matchAll(/^id: ?(.*?)\r?$/gm)];
  return { whole, rest: bytes.subarray(end), lastEventId: ids.at(-1)?.[1], count: ids.length };
}
