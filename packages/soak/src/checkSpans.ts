import type { Violation } from './Violation.js';

/** Fields of a line with event `request` that concern its stream. */
interface RequestLine {
  readonly event: 'request';
  readonly requestId: string;
  /** Attempt that brought the first event, if the caller takes up a stream. */
  readonly resumes?: string;
  readonly resumesAfter?: string;
  /** Host that sent the request on to the one that writes the line. */
  readonly relayedBy?: string;
  /** Number of events that were passed on. */
  readonly events: number;
  /** As `describeSpans` of the gateway writes it. */
  readonly spans: string;
}

interface LoggedSpan {
  readonly writer: string;
  readonly version: string | undefined;
  readonly isCertain: boolean;
  readonly first: number;
  readonly last: number;
  readonly text: string;
}

function parseLine(line: string): RequestLine | undefined {
  // A process that was killed may have written a part of its last line.
  if (!line.startsWith('{') || !line.endsWith('}') || !line.includes('"spans":')) {
    return undefined;
  }
  const fields = JSON.parse(line) as RequestLine;
  return fields.event === 'request' ? fields : undefined;
}

/** Spans with events, in the order in which they were written. */
function parseSpans(spans: string): LoggedSpan[] {
  return spans.split(',').flatMap((text) => {
    const [writer = '', , version, certainty, , first = '-', last = '-'] = text
      .split(' ')
      .map((value) => (value === '-' ? value : decodeURIComponent(value)));
    return first === '-'
      ? []
      : [
          {
            writer,
            version: version === '-' ? undefined : version,
            isCertain: certainty === 'certain',
            first: Number(first),
            last: Number(last),
            text,
          },
        ];
  });
}

/** Events of one response come one by one, after the one after which the caller asked for them. */
function checkLine({ requestId, resumesAfter, events, spans }: RequestLine): Violation[] {
  const parsed = parseSpans(spans);
  // Other servers may number events in other ways.
  if (parsed.some(({ first, last }) => !Number.isInteger(first) || !Number.isInteger(last))) {
    return [];
  }
  let last = Number(resumesAfter ?? 0);
  const isInOrder = parsed.every((span) => {
    const isNext = span.first === last + 1 && span.last >= span.first;
    last = span.last;
    return isNext;
  });
  const count = parsed.reduce((sum, span) => sum + span.last - span.first + 1, 0);
  return isInOrder && count === events
    ? []
    : [
        {
          promise: 'spans',
          detail: `${requestId} after ${resumesAfter ?? 0}: ${events} events [${spans}]`,
        },
      ];
}

/**
 * Checks the streams in the logs of all hosts: no gap and no repetition in a response, and servers of
 * one version over all responses that the first attempt joins. A version that only an entry names
 * may be that of an earlier process, and is not compared.
 *
 * @param logs output of each host, with one JSON object in a line
 */
export function checkSpans(logs: readonly string[]): Violation[] {
  const lines = logs.flatMap((log) => log.split('\n')).flatMap((line) => parseLine(line) ?? []);
  const streams = new Map<string, RequestLine[]>();
  const own = lines.filter(({ relayedBy }) => relayedBy === undefined);
  const ownIds = new Set(own.map(({ requestId }) => requestId));
  // The host that relays a request may have dropped what another one passed on to it, and says so itself.
  const relevant = lines.filter(
    (line) => line.relayedBy === undefined || !ownIds.has(line.requestId),
  );
  relevant.forEach((line) => {
    const id = line.resumes ?? line.requestId;
    streams.set(id, [...(streams.get(id) ?? []), line]);
  });
  const joined = [...streams].flatMap(([id, parts]): Violation[] => {
    const versions = parts
      .flatMap(({ spans }) => parseSpans(spans))
      .flatMap(({ version, isCertain }) => (isCertain && version !== undefined ? [version] : []));
    return new Set(versions).size <= 1
      ? []
      : [
          {
            promise: 'spans',
            detail: `${id} has versions: ${parts.map((line) => `${line.requestId} [${line.spans}]`).join('; ')}`,
          },
        ];
  });
  return [...own.flatMap(checkLine), ...joined];
}
