import type { StreamSpan } from './StreamSpan.js';

/** Encodes any text; a version may hold half of a character, which a URI component may not. */
const encode = (value: string | number | undefined): string =>
  value === undefined
    ? '-'
    : encodeURIComponent(Buffer.from(String(value)).toString()).replace(/^-$/, '%2D');

/**
 * Describes the spans of a stream in one log field, separated by commas: writer, start of its process,
 * version, `certain` or `claimed`, id after which it was asked to go on, first and last id, end and
 * framing, each encoded as a URI component or `-`. Undefined without spans.
 */
export function describeSpans(spans: readonly StreamSpan[]): string | undefined {
  return spans.length === 0
    ? undefined
    : spans
        .map(({ isCertain, ...span }) =>
          [
            span.from,
            span.startedAtMs,
            span.version,
            isCertain ? 'certain' : 'claimed',
            span.after,
            span.firstEventId,
            span.lastEventId,
            span.end,
            span.framing,
          ]
            .map(encode)
            .join(' '),
        )
        .join(',');
}
