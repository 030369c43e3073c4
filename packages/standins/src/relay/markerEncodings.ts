const BITS_PER_BYTE = 8;
const BITS_PER_CHARACTER = 6;
const BYTES_PER_GROUP = 3;

/**
 * The text itself and the part of its base64 encoding that does not depend on the bytes around it,
 * for each of the three possible offsets in a group.
 */
export function markerEncodings(marker: string): readonly string[] {
  const bytes = Buffer.from(marker, 'utf8');
  const base64 = Array.from({ length: BYTES_PER_GROUP }, (_, offset) => {
    const start = Math.ceil((offset * BITS_PER_BYTE) / BITS_PER_CHARACTER);
    const end = Math.floor(((offset + bytes.length) * BITS_PER_BYTE) / BITS_PER_CHARACTER);
    return Buffer.concat([Buffer.alloc(offset), bytes])
      .toString('base64')
      .slice(start, end);
  });
  return [marker, ...base64];
}
