import { responseTokens } from '@camphorbarrow/standins';
import type { History } from '../history/History.js';
import type { AnsweredEvent, InvokedEvent } from '../history/HistoryEvent.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

function describeWrongInference(
  { prompt, tokens }: InvokedEvent,
  { text = '', label }: AnsweredEvent,
): string | undefined {
  const serverId = /^([\w.-]*)\[/.exec(text)?.[1] ?? '';
  const expected = responseTokens(serverId, prompt ?? '', tokens ?? 0).join('');
  if (label === 'complete') {
    return text === expected ? undefined : `complete response "${text}", expected "${expected}"`;
  }
  return text === '' || expected.startsWith(text) ? undefined : `partial response "${text}"`;
}

function describeWrongOrder(
  { order }: InvokedEvent,
  { text, label }: AnsweredEvent,
): string | undefined {
  return label === 'complete' && text !== order ? `response is for order "${text}"` : undefined;
}

/**
 * Finds responses that belong to another call or mix several, and truncated ones that their callers
 * took for complete.
 */
export function findIncorrectResponses(history: History): Violation[] {
  const invoked = new Map(
    eventsOfKind(history, 'invoked').map((event) => [`${event.call} ${event.attempt}`, event]),
  );
  return eventsOfKind(history, 'answered').flatMap((response) => {
    const call = invoked.get(`${response.call} ${response.attempt}`);
    if (call === undefined) {
      return [
        { rule: 'foreign-answer', message: `response to ${response.call}, which was not sent` },
      ];
    }
    const wrong =
      call.prompt === undefined
        ? describeWrongOrder(call, response)
        : describeWrongInference(call, response);
    return wrong === undefined
      ? []
      : [{ rule: 'foreign-answer', message: `${response.call}: ${wrong}` }];
  });
}
