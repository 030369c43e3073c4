import test from 'ava';
import { asId, createManualClock, createPartSuspicion } from '@camphorbarrow/core';
import type { HostId, PromptPartKey } from '@camphorbarrow/core';
import { createPartTrials } from '../../src/index.js';

const part = asId<PromptPartKey>('part');
const other = asId<PromptPartKey>('other');

function createSubject(hostCount: number) {
  const clock = createManualClock();
  const suspicion = createPartSuspicion(clock);
  const hosts = Array.from({ length: hostCount }, (_, index) => asId<HostId>(`host-${index}`));
  const trials = hosts.map((ownId) =>
    createPartTrials({ clock, suspicion, ownId, hosts: () => hosts }),
  );
  const suspect = (): void =>
    suspicion.merge({
      crashes: [{ crashId: 'crash', ageMs: 0, parts: [part], trialParts: [] }],
      served: [],
    });
  return { clock, trials, suspect };
}

test('requests without a suspected part are not limited', (t) => {
  const { trials, suspect } = createSubject(1);
  suspect();
  const [subject] = trials;
  t.truthy(subject?.tryStart([other], false));
  t.truthy(subject?.tryStart([other], false));
});

test('one request with a suspected part runs at a time in the whole fleet, then more hosts may try', (t) => {
  const { clock, trials, suspect } = createSubject(24);
  suspect();
  const startAll = () => trials.flatMap((subject) => subject.tryStart([part], false) ?? []);
  const first = startAll();
  t.is(first.length, 1);
  t.is(startAll().length, 0);
  first[0]?.end();
  clock.advance(10_000);
  t.is(startAll().length, 24);
});

test('a host sends one retry with a suspected part at a time', (t) => {
  const { trials, suspect } = createSubject(3);
  suspect();
  const [subject] = trials;
  const trial = subject?.tryStart([part], true);
  t.truthy(trial);
  t.is(subject?.tryStart([part], true), undefined);
  trial?.end();
  t.truthy(subject?.tryStart([part], true));
});

test('a host waits while a peer has announced a trial, and not for a peer that fell silent', (t) => {
  const { clock, trials, suspect } = createSubject(3);
  suspect();
  const [subject] = trials;
  const peer = asId<HostId>('host-1');
  subject?.recordPeer(peer, [part]);
  t.is(subject?.tryStart([part], true), undefined);
  subject?.recordPeer(peer, []);
  const trial = subject?.tryStart([part], true);
  t.truthy(trial);
  trial?.end();
  subject?.recordPeer(peer, [part]);
  clock.advance(3_000);
  t.truthy(subject?.tryStart([part], true));
});
