/**
 * Whole number from 0 on, of any size: a `number` if that holds it exactly, otherwise a `bigint`. Equal
 * values are therefore identical, and values are compared with `<` and `>`.
 */
export type WholeNumber = number | bigint;

/** Longer numbers are no counts or versions, and would not fit into messages between hosts. */
const MAX_DIGITS = 400;
const DECIMAL = /^(\d+)(?:\.(\d+))?(?:[eE]([+-]?\d{1,4}))?$/;
const WHOLE_DECIMAL = new RegExp(`^(0|[1-9]\\d{0,${MAX_DIGITS - 1}})$`);

/** Returns the value in the form in which equal values are identical. */
export function toWholeNumber(value: bigint): WholeNumber {
  return value <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(value) : value;
}

/** Whether the value is a whole number from 0 on that is exact. */
export function isWholeNumber(value: unknown): value is WholeNumber {
  return typeof value === 'bigint'
    ? value > BigInt(Number.MAX_SAFE_INTEGER)
    : Number.isSafeInteger(value) && (value as number) >= 0;
}

/**
 * Parses a number in the notation of JSON, such as `31`, `31.0` or `3.1e1`; undefined if it is not
 * whole, negative or longer than 400 digits.
 */
export function parseWholeNumber(text: string): WholeNumber | undefined {
  const [, whole = '', fraction = '', exponent = '0'] = DECIMAL.exec(text) ?? [];
  const zeros = Number(exponent) - fraction.length;
  const digits = `${whole}${fraction}`;
  if (whole === '' || digits.length + Math.max(0, zeros) > MAX_DIGITS) {
    return undefined;
  }
  const cut = zeros < 0 ? digits.slice(zeros) : '';
  if (/[^0]/.test(cut) || cut.length < -zeros) {
    return /[^0]/.test(digits) ? undefined : 0;
  }
  const kept = digits.slice(0, digits.length - cut.length);
  return toWholeNumber(BigInt(`${kept}${'0'.repeat(Math.max(0, zeros))}`));
}

/** Encodes for JSON and log lines: a number if that is exact, otherwise decimal text. */
export function encodeWholeNumber(value: WholeNumber): number | string {
  return typeof value === 'bigint' ? value.toString() : value;
}

/** Decodes what `encodeWholeNumber` returned; undefined if the value is something else. */
export function decodeWholeNumber(value: unknown): WholeNumber | undefined {
  const decoded =
    typeof value === 'string' && WHOLE_DECIMAL.test(value) ? toWholeNumber(BigInt(value)) : value;
  return isWholeNumber(decoded) && (typeof value !== 'string' || typeof decoded === 'bigint')
    ? decoded
    : undefined;
}

/** Returns a negative number if `a` is less than `b`, 0 if they are equal, otherwise a positive one. */
export function compareWholeNumbers(a: WholeNumber, b: WholeNumber): number {
  return Number(a > b) - Number(a < b);
}

export function maxWholeNumber(a: WholeNumber, b: WholeNumber): WholeNumber {
  return a > b ? a : b;
}

/** Returns the next whole number. */
export function nextWholeNumber(value: WholeNumber): WholeNumber {
  return toWholeNumber(BigInt(value) + 1n);
}
