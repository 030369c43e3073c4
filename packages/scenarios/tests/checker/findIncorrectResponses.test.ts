import { responseTokens } from '@camphorbarrow/standins';
import test from 'ava';
import { findIncorrectResponses } from '../../src/checker/findIncorrectResponses.js';
import type { CallLabel } from '../../src/history/CallLabel.js';
import type { History } from '../../src/history/History.js';

const prompt = 'nonce=a wren';
const tokens = responseTokens('norte-engine-1', prompt, 4);

function inference(text: string, label: CallLabel = 'complete'): History {
  const hosts = ['norte-1'];
  return [
    { kind: 'invoked', atMs: 1, call: 'a', attempt: 1, hosts, repeatable: true, prompt, tokens: 4 },
    { kind: 'answered', atMs: 2, call: 'a', attempt: 1, label, text },
  ];
}

function order(text: string): History {
  return [
    {
      kind: 'invoked',
      atMs: 1,
      call: 'status-a',
      attempt: 1,
      hosts: ['norte-1'],
      repeatable: true,
      order: 'a',
    },
    { kind: 'answered', atMs: 2, call: 'status-a', attempt: 1, label: 'complete', text },
  ];
}

test('reports responses of other calls and truncated or mixed ones', (t) => {
  const foreign = responseTokens('norte-engine-1', 'nonce=b wren', 4);
  t.is(findIncorrectResponses(inference(foreign.join(''))).length, 1);
  t.is(findIncorrectResponses(inference(tokens.slice(0, 3).join(''))).length, 1);
  t.is(
    findIncorrectResponses(inference([...tokens.slice(0, 3), ...foreign.slice(3)].join(''))).length,
    1,
  );
  t.is(findIncorrectResponses(inference([tokens[0], tokens[2]].join(''), 'broken')).length, 1);
  t.is(findIncorrectResponses(order('b')).length, 1);
});

test('accepts complete responses and prefixes reported as incomplete', (t) => {
  t.deepEqual(findIncorrectResponses(inference(tokens.join(''))), []);
  t.deepEqual(findIncorrectResponses(inference(tokens.slice(0, 2).join(''), 'broken')), []);
  t.deepEqual(findIncorrectResponses(inference('', 'not-run')), []);
  t.deepEqual(findIncorrectResponses(order('a')), []);
});
