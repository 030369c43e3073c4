const MAX_DECODE_ROUNDS = 3;
/** Encoded forms of characters that structure a path: / \ . % ; ? # and control characters. */
const ENCODED_STRUCTURE = /%(?:2f|5c|2e|25|3b|3f|23|[01][0-9a-f]|7f)/i;
/** Characters whose handling differs between HTTP servers and URL parsers. */
// eslint-disable-next-line no-control-regex -- control characters are what is looked for
const AMBIGUOUS = /[\\;#\u0000-\u0020\u007f-\uffff]/;
const DOT_SEGMENT = /(?:^|\/)\.{1,2}(?:\/|$)/;

/** Decodes until nothing changes; undefined for malformed or too deeply nested encodings. */
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
 * Whether a call to a service may be sent more than once. A call is repeatable only when no
 * non-repeatable prefix of its method matches its path in any reading: letter case, percent-encoding
 * and a trailing slash make no difference. A path that servers may read in several ways (dot
 * segments, empty segments, backslashes, path parameters, encoded separators) counts as
 * non-repeatable for every method.
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
  const ambiguous =
    !pathname.startsWith('/') ||
    pathname.includes('//') ||
    AMBIGUOUS.test(path) ||
    ENCODED_STRUCTURE.test(pathname) ||
    DOT_SEGMENT.test(pathname);
  const decoded = decodeFully(pathname);
  if (ambiguous || decoded === undefined) {
    return false;
  }
  const call = foldCase(`${method} ${decoded}`);
  return !nonRepeatableCalls.some((prefix) => {
    const rule = foldCase(decodeFully(prefix) ?? prefix);
    return call.startsWith(rule) || `${call}/`.startsWith(rule);
  });
}
