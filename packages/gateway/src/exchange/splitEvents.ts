const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export interface SplitEvents {
  /** Complete events, including the blank line that ends each of them. */
  readonly completeEvents: Buffer;
  /** Start of an event that is not complete yet. */
  readonly remainder: Buffer;
  /** Id of the last complete event that has one; undefined when none has. */
  readonly lastEventId: string | undefined;
  /** Number of complete events that have an id. */
  readonly eventCount: number;
  /** Whether the complete part has fields; otherwise it consists of comments and blank lines. */
  readonly hasFields: boolean;
}

/** Offset after the last blank line, or 0 when there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const previousIndex = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (previousIndex >= 0 && bytes[previousIndex] === LINE_FEED) {
        return index + 1;
      }
    }
  }
  return 0;
}

/** Whether the bytes hold more than comments and blank lines. */
export function hasFields(bytes: Buffer): boolean {
  return /^[^:\r\n]/m.test(bytes.toString('latin1'));
}

/** Splits bytes of an event stream into complete events and the start of the next one. */
export function splitEvents(bytes: Buffer): SplitEvents {
  const end = endOfLastEvent(bytes);
  const completeEvents = bytes.subarray(0, end);
  const text = completeEvents.toString('latin1');
  const ids = [...text.matchAll(/^id: ?(.*?)\r?$/gm)];
  return {
    completeEvents,
    remainder: bytes.subarray(end),
    lastEventId: ids.at(-1)?.[1],
    eventCount: ids.length,
    hasFields: hasFields(completeEvents),
  };
}
