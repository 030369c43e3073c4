import test from 'ava';
import fc from 'fast-check';
import {
  compareWholeNumbers,
  decodeWholeNumber,
  encodeWholeNumber,
  parseWholeNumber,
  toWholeNumber,
} from '../../src/index.js';

test('whole numbers of any size keep their value and order in text and in messages', (t) => {
  fc.assert(
    fc.property(fc.bigInt(0n, 10n ** 40n), fc.bigInt(0n, 10n ** 40n), (a, b) => {
      const value = toWholeNumber(a);
      t.is(parseWholeNumber(a.toString()), value);
      t.is(parseWholeNumber(`${a}.00`), value);
      t.is(parseWholeNumber(`${a}e2`), toWholeNumber(a * 100n));
      t.is(parseWholeNumber(`${a}00E-2`), value);
      t.is(decodeWholeNumber(JSON.parse(JSON.stringify(encodeWholeNumber(value)))), value);
      t.is(Math.sign(compareWholeNumbers(value, toWholeNumber(b))), Number(a > b) - Number(a < b));
    }),
  );
});

test('what is not a whole number from 0 on is refused', (t) => {
  ['', '-1', '0.5', '9007199254740993.5', '1e-1', '1e400', '1e99999', '0x10', 'NaN', '12n'].forEach(
    (text) => t.is(parseWholeNumber(text), undefined, text),
  );
  [null, -1, 0.5, 1e300, '7', '01', '-9007199254740993', '9'.repeat(401), [], {}].forEach((value) =>
    t.is(decodeWholeNumber(value), undefined, String(value)),
  );
  t.is(parseWholeNumber('0e-5'), 0);
});
