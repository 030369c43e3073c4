import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createTransitTracker } from '../../src/index.js';
import type { HeartbeatEcho, HostRegistration, TransitTracker } from '../../src/index.js';

const sender = asId<HostId>('host-2');
const incarnation = 'process-1';
/** The sender's clock shows this much less than the one of the receiver. */
const CLOCK_DIFFERENCE_MS = 7_000;
const PATH_MS = 80;

function setUp() {
  const clock = createManualClock();
  clock.advance(10_000);
  const tracker = createTransitTracker(clock);
  const senderNowMs = (): number => clock.monotonicMs() - CLOCK_DIFFERENCE_MS;
  return { clock, tracker, senderNowMs };
}

function deliverHeartbeat(
  tracker: TransitTracker,
  sentAtMs: number,
  process = incarnation,
  echo?: HeartbeatEcho,
): void {
  tracker.recordHeartbeat({
    host: { id: sender } as HostRegistration,
    incarnation: process,
    sentAtMs,
    echo,
  });
}

test('the transit time of a message is measured against the fastest heartbeat of its sender', (t) => {
  const { clock, tracker, senderNowMs } = setUp();
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS - 300);
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS);
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS - 300);
  const sentAtMs = senderNowMs();
  clock.advance(PATH_MS + 1_200);
  t.is(tracker.excessTransitMs(sender, { incarnation, sentAtMs }), 1_200);
  t.is(tracker.excessTransitMs(sender, { incarnation, sentAtMs: senderNowMs() }), 0);
});

test('without a heartbeat of the sending process the transit time is unknown', (t) => {
  const { tracker, senderNowMs } = setUp();
  const sendTime = { incarnation, sentAtMs: senderNowMs() };
  t.is(tracker.excessTransitMs(sender, sendTime), undefined);
  deliverHeartbeat(tracker, senderNowMs(), 'process-2');
  t.is(tracker.excessTransitMs(sender, sendTime), undefined);
});

test('a jump between the clocks, as after a pause of the sender, is forgotten after two windows', (t) => {
  const { clock, tracker, senderNowMs } = setUp();
  const pausedMs = 3_000;
  deliverHeartbeat(tracker, senderNowMs());
  for (let count = 0; count < 3; count += 1) {
    clock.advance(5_001);
    deliverHeartbeat(tracker, senderNowMs() - pausedMs);
  }
  const sendTime = { incarnation, sentAtMs: senderNowMs() - pausedMs };
  t.is(tracker.excessTransitMs(sender, sendTime), 0);
});

test('a pause of the sender does not make its later requests seem late', (t) => {
  const { clock, tracker, senderNowMs } = setUp();
  const pausedMs = 3_000;
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS);
  clock.advance(pausedMs + 500);
  const heldMs = 40;
  deliverHeartbeat(tracker, senderNowMs() - pausedMs - PATH_MS, incarnation, {
    sentAtMs: clock.monotonicMs() - 2 * PATH_MS - heldMs,
    heldMs,
  });
  const sentAtMs = senderNowMs() - pausedMs;
  clock.advance(PATH_MS + 200);
  t.is(tracker.excessTransitMs(sender, { incarnation, sentAtMs }), 200);
});

test('a heartbeat that was held up by a congested link is no new reference', (t) => {
  const { clock, tracker, senderNowMs } = setUp();
  const heldUpMs = 2_000;
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS);
  deliverHeartbeat(tracker, senderNowMs() - PATH_MS - heldUpMs, incarnation, {
    sentAtMs: clock.monotonicMs() - 2 * PATH_MS - heldUpMs,
    heldMs: 0,
  });
  const sentAtMs = senderNowMs() - PATH_MS - heldUpMs;
  t.is(tracker.excessTransitMs(sender, { incarnation, sentAtMs }), heldUpMs);
});
