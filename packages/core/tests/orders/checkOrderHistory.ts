import type { OrderEvent } from './OrderEvent.js';

type Send = Extract<OrderEvent, { kind: 'send' }>;
type Run = Extract<OrderEvent, { kind: 'run' }>;
type Answer = Extract<OrderEvent, { kind: 'answer' }>;

function checkNotRun(answer: Answer, send: Send, runs: readonly Run[]): string[] {
  const sendRan = runs.some(({ sendId }) => sendId === answer.sendId)
    ? [`send ${answer.sendId} was reported as not-run but ran`]
    : [];
  const orderRan = runs.some(({ order }) => order === send.order)
    ? [`order ${send.order} was reported as finally not-run but ran`]
    : [];
  return answer.finalForKey === true ? [...sendRan, ...orderRan] : sendRan;
}

function checkRun(answer: Answer, send: Send, events: readonly OrderEvent[]): string[] {
  const before = events.slice(0, events.indexOf(answer));
  const run = before.find((event) => event.kind === 'run' && event.order === send.order);
  if (run?.kind !== 'run') {
    return [`send ${answer.sendId} was reported as run before order ${send.order} ran`];
  }
  return answer.confirmation === undefined || answer.confirmation === run.confirmation
    ? []
    : [`send ${answer.sendId} got the response to another order`];
}

/** Returns the violations of at-most-once execution in a history; empty for a correct history. */
export function checkOrderHistory(events: readonly OrderEvent[]): readonly string[] {
  const sends = new Map<string, Send>();
  const runs: Run[] = [];
  const answers: Answer[] = [];
  events.forEach((event) => {
    if (event.kind === 'send') {
      sends.set(event.sendId, event);
    } else if (event.kind === 'run') {
      runs.push(event);
    } else {
      answers.push(event);
    }
  });
  const duplicateRuns = runs
    .filter(({ order }, index) => runs.findIndex((run) => run.order === order) < index)
    .map(({ order }) => `order ${order} ran twice`);
  const wrongAnswers = answers.flatMap((answer): string[] => {
    const send = sends.get(answer.sendId);
    if (send === undefined) {
      return [`response to unknown send ${answer.sendId}`];
    }
    const missedOutcome =
      send.mustFindOutcome === true && answer.confirmation === undefined
        ? [`send ${answer.sendId} did not find the known outcome`]
        : [];
    if (answer.outcome === 'unknown') {
      return missedOutcome;
    }
    return answer.outcome === 'run'
      ? [...missedOutcome, ...checkRun(answer, send, events)]
      : [...missedOutcome, ...checkNotRun(answer, send, runs)];
  });
  const answered = new Set(answers.map(({ sendId }) => sendId));
  const unanswered = [...sends.values()]
    .filter(({ sendId, mustFindOutcome }) => mustFindOutcome === true && !answered.has(sendId))
    .map(({ sendId }) => `send ${sendId} got no response`);
  return [...duplicateRuns, ...wrongAnswers, ...unanswered];
}
