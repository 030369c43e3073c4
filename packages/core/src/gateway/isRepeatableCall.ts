const MAX_DECODE_ROUNDS = 3;
/** Percent-encoded characters that affect path parsing: / \ . % ; ? # and control characters. */
const ENCODED_DELIMITER = /%(?:2f|5c|2e|25|3b|3f|23|[01][0-9a-f]|7f)/i;
/** Characters that HTTP servers and URL parsers handle differently. */
// eslint-disable-next-line no-control-regex -- the expression has to match control characters
const AMBIGUOUS = /[\\;#\u0000-\u0020\u007f-\uffff]/;
const DOT_SEGMENT = /(?:^|\/)\.{1,2}(?:\/|$)/;

/**
 * Percent-decodes until the text is stable. Returns undefined if it is malformed or encoded more
 * than `MAX_DECODE_ROUNDS - 1` times.
 */
function decodeFully(text: string): string | undefined {
  let decoded = text;
  try {
    for (let round = 0; round < MAX_DECODE_ROUNDS; round += 1) {
      const next = decodeURIComponent(decoded);
      if (next === decoded) {
        return decoded;
      }
      decoded = next;
    }
  } catch {
    return undefined;
  }
  return undefined;
}

const foldCase = (text: string): string => text.normalize('NFKC').toLowerCase();

/**
 * Whether a call to a service may be sent more than once. A call is repeatable if no non-repeatable
 * prefix matches its method and path; case, percent-encoding and a trailing slash are ignored. When
 * there are non-repeatable prefixes, a path that servers may interpret in different ways (dot
 * segments, empty segments, backslashes, path parameters, encoded delimiters) is not repeatable for
 * any method.
 *
 * @param nonRepeatableCalls prefixes in the form "METHOD /path"
 */
export function isRepeatableCall(
  method: string,
  path: string,
  nonRepeatableCalls: readonly string[],
): boolean {
  if (nonRepeatableCalls.length === 0) {
    return true;
  }
  const pathname = path.split('?', 1)[0] ?? '';
  const isAmbiguous =
    !pathname.startsWith('/') ||
    pathname.includes('//') ||
    AMBIGUOUS.test(path) ||
    ENCODED_DELIMITER.test(pathname) ||
    DOT_SEGMENT.test(pathname);
  const decoded = decodeFully(pathname);
  if (isAmbiguous || decoded === undefined) {
    return false;
  }
  const call = foldCase(`${method} ${decoded}`);
  return !nonRepeatableCalls.some((prefix) => {
    const normalizedPrefix = foldCase(decodeFully(prefix) ?? prefix);
    return call.startsWith(normalizedPrefix) || `${call}/`.startsWith(normalizedPrefix);
  });
}
