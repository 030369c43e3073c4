const BITS_PER_BYTE = 8;
const BITS_PER_CHARACTER = 6;
const BYTES_PER_GROUP = 3;

/** A text as it is, and the middle of its base64 form at each of the three possible offsets. */
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
