const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What complete events of a stream contain. */
export interface EventsDescription {
  /** Id of the first event that has one; undefined when none has. */
  readonly firstEventId: string | undefined;
  /** Id of the last event that has one; undefined when none has. */
  readonly lastEventId: string | undefined;
  /** Number of events that have an id. */
  readonly eventCount: number;
  /** Whether there are fields; otherwise the bytes are comments and blank lines. */
  readonly hasFields: boolean;
  /** Length of the part that is described, before the first event that is out of order. */
  readonly orderedBytes: number;
}

/**
 * Offset after the last blank line, or 0 when there is none.
 *
 * @param from offset before which no blank line ends
 * @param to offset before which the blank line ends
 */
export function endOfLastEvent(bytes: Buffer, from: number, to = bytes.length): number {
  for (let index = to - 1; index >= Math.max(1, from); index -= 1) {
    if (bytes[index] === LINE_FEED) {
      const previousIndex = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (previousIndex >= 0 && bytes[previousIndex] === LINE_FEED) {
        return index + 1;
      }
    }
  }
  return 0;
}

/** Line with the id of an event. `matchAll` would copy the expression for each chunk. */
const ID_LINE = /^id: ?(.*?)\r?$/gm;
const FIELD_START = /^[^:\r\n]/m;

const holdsFields = (text: string): boolean => FIELD_START.test(text);

/** Whether the bytes hold more than comments and blank lines. */
export const hasFields = (bytes: Buffer): boolean => holdsFields(bytes.toString('latin1'));

const WHOLE_NUMBER = /^\d+$/;
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;
/** Whole numbers with more digits may exceed `Number.MAX_SAFE_INTEGER`. */
const MAX_SAFE_DIGITS = 15;

/** Value of a short whole number; NaN for other ids. Runs for each event. */
function toSafeNumber(id: string): number {
  if (id.length > MAX_SAFE_DIGITS || id.length === 0) {
    return NaN;
  }
  let value = 0;
  for (let index = 0; index < id.length; index += 1) {
    const code = id.charCodeAt(index);
    if (code < DIGIT_ZERO || code > DIGIT_NINE) {
      return NaN;
    }
    value = value * 10 + (code - DIGIT_ZERO);
  }
  return value;
}

/**
 * Whether an event may follow the last one of a stream. Ids increase, so that a late copy of the
 * stream is told from its rest, although both belong to the same request. Ids that are not whole
 * numbers have no order; only an equal one is a repetition.
 */
export function isAfter(id: string | undefined, lastId: string | undefined): boolean {
  if (id === undefined || lastId === undefined) {
    return id !== undefined;
  }
  const value = toSafeNumber(id);
  const lastValue = toSafeNumber(lastId);
  if (!Number.isNaN(value) && !Number.isNaN(lastValue)) {
    return value > lastValue;
  }
  return WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(lastId)
    ? BigInt(id) > BigInt(lastId)
    : id !== lastId;
}

/**
 * Describes the complete events of a stream, up to the first one that does not come after those
 * before it. One that has two ids consists of parts of two events. An empty id stands for none.
 *
 * @param previousId id of the last event before them
 */
export function describeEvents(completeEvents: Buffer, previousId?: string): EventsDescription {
  const text = completeEvents.toString('latin1');
  let firstEventId: string | undefined;
  let lastEventId: string | undefined;
  let eventCount = 0;
  let idBefore: string | undefined;
  let idOffset = 0;
  let eventOffset = 0;
  let orderedBytes = completeEvents.length;
  ID_LINE.lastIndex = 0;
  for (let match = ID_LINE.exec(text); match !== null; match = ID_LINE.exec(text)) {
    const [, id] = match;
    if (id !== undefined && id !== '') {
      const offset = endOfLastEvent(completeEvents, idOffset, match.index);
      if (eventCount > 0 && offset === 0) {
        firstEventId = idBefore === undefined ? undefined : firstEventId;
        lastEventId = idBefore;
        eventCount -= 1;
        orderedBytes = eventOffset;
        break;
      }
      if (!isAfter(id, lastEventId ?? previousId)) {
        orderedBytes = offset;
        break;
      }
      idBefore = lastEventId;
      lastEventId = id;
      firstEventId ??= id;
      eventCount += 1;
      idOffset = match.index;
      eventOffset = offset;
    }
  }
  const ordered = orderedBytes === completeEvents.length ? text : text.slice(0, orderedBytes);
  return { firstEventId, lastEventId, eventCount, hasFields: holdsFields(ordered), orderedBytes };
}
