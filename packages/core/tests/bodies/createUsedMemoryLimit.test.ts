import test from 'ava';
import { createUsedMemoryLimit } from '../../src/index.js';

function createProbe() {
  const process: { usedBytes: number; residentBytes: number | undefined } = {
    usedBytes: 20,
    residentBytes: 70,
  };
  const limit = createUsedMemoryLimit({
    maxBytes: 60,
    assumedBytes: 50,
    usedBytes: () => process.usedBytes,
    residentBytes: () => process.residentBytes,
  });
  return { process, limit };
}

test('a program that takes no more than was assumed leaves the whole limit', (t) => {
  const { process, limit } = createProbe();
  t.is(limit(), 60);
  process.residentBytes = 40;
  t.is(limit(), 60);
});

test('what a program takes beyond the assumed memory lowers the limit', (t) => {
  const { process, limit } = createProbe();
  process.residentBytes = 90;
  t.is(limit(), 40);
});

test('used memory that was collected and not returned to the system is not taken for the program', (t) => {
  const { process, limit } = createProbe();
  Object.assign(process, { usedBytes: 60, residentBytes: 110 });
  t.is(limit(), 60);
  process.usedBytes = 20;
  t.is(limit(), 60);
  process.residentBytes = 120;
  t.is(limit(), 50);
});

test('the limit stays while the memory of the process cannot be read', (t) => {
  const { process, limit } = createProbe();
  process.residentBytes = 90;
  t.is(limit(), 40);
  process.residentBytes = undefined;
  t.is(limit(), 40);
});
