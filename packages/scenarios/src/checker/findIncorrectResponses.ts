import { responseTokens } from '@camphorbarrow/standins';
import type { History } from '../history/History.js';
import type { AnsweredEvent, InvokedEvent } from '../history/HistoryEvent.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

function wrongInference(
  { prompt, tokens }: InvokedEvent,
  { text = '', label }: AnsweredEvent,
): string | undefined {
  const serverId = /^([\w.-]*)\[/.exec(text)?.[1] ?? '';
  const expected = responseTokens(serverId, prompt ?? '', tokens ?? 0).join('');
  if (label === 'complete') {
    return text === expected ? undefined : `complete answer "${text}", expected "${expected}"`;
  }
  return text === '' || expected.startsWith(text) ? undefined : `partial answer "${text}"`;
}

function wrongOrder({ order }: InvokedEvent, { text, label }: AnsweredEvent): string | undefined {
  return label === 'complete' && text !== order ? `answer names order "${text}"` : undefined;
}

/** An answer belongs to another call, is shortened or mixed, or counts as complete and is not. */
export function findIncorrectResponses(history: History): Violation[] {
  const invoked = new Map(
    eventsOfKind(history, 'invoked').map((event) => [`${event.call} ${event.attempt}`, event]),
  );
  return eventsOfKind(history, 'answered').flatMap((answer) => {
    const call = invoked.get(`${answer.call} ${answer.attempt}`);
    if (call === undefined) {
      return [{ rule: 'foreign-answer', message: `answer to ${answer.call}, which was not sent` }];
    }
    const wrong =
      call.prompt === undefined ? wrongOrder(call, answer) : wrongInference(call, answer);
    return wrong === undefined
      ? []
      : [{ rule: 'foreign-answer', message: `${answer.call}: ${wrong}` }];
  });
}
