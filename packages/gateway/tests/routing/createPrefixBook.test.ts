import test from 'ava';
import { createPrefixBook } from '../../src/index.js';

const part = (id: string, tokens: number) => ({ id, tokens });
const own = part('own', 50);

test('only parts whose predecessors are cached need not be read', (t) => {
  const book = createPrefixBook();
  book.record('s', [part('a', 100), part('b', 200), own], 10_000);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 300);
  t.is(book.cachedTokens('s', [part('x', 100), part('b', 200), own]), 0);
  t.is(book.cachedTokens('other', [part('a', 100), own]), 0);
});

test('the parts used longest ago make way when the memory is full', (t) => {
  const book = createPrefixBook();
  book.record('s', [part('a', 300), own], 1_000);
  book.record('s', [part('b', 300), own], 1_000);
  book.record('s', [part('c', 300), own], 1_000);
  t.is(book.cachedTokens('s', [part('a', 300), own]), 0);
  t.is(book.cachedTokens('s', [part('c', 300), own]), 300);
});
